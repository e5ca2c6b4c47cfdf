package harness

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

const certificateLifetime = 24 * time.Hour

// WriteCredentials creates a temporary certificate authority, and a certificate and a key
// for each daemon. It writes them to dir, except for the key of the authority.
func WriteCredentials(dir string, daemons int) error {
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	ca := template("godwithatch temporary authority", 1)
	ca.IsCA, ca.BasicConstraintsValid, ca.KeyUsage = true, true, x509.KeyUsageCertSign
	if err := writeCertificate(filepath.Join(dir, "ca.pem"), ca, ca, &caKey.PublicKey, caKey); err != nil {
		return err
	}
	for i := range daemons {
		if err := WriteHostCredentials(dir, DaemonID(i), int64(i+2), ca, caKey); err != nil {
			return err
		}
	}
	return nil
}

// WriteHostCredentials creates the certificate and the key of one host and writes them
// to dir.
func WriteHostCredentials(dir, id string, serial int64, ca *x509.Certificate, caKey *ecdsa.PrivateKey) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	c := template(id, serial)
	c.DNSNames = []string{id}
	if err := writeCertificate(filepath.Join(dir, id+".pem"), c, ca, &key.PublicKey, caKey); err != nil {
		return err
	}
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, id+".key"), "EC PRIVATE KEY", der)
}

func template(name string, serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(certificateLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func writeCertificate(path string, c, parent *x509.Certificate, public, signer any) error {
	der, err := x509.CreateCertificate(rand.Reader, c, parent, public, signer)
	if err != nil {
		return err
	}
	return writePEM(path, "CERTIFICATE", der)
}

func writePEM(path, kind string, der []byte) error {
	return os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
