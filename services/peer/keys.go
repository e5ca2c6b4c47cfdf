package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/godwithatch/godwithatch/modules/fault"
)

// alpnProtocol is the ALPN name with which hosts negotiate the protocol version.
const alpnProtocol = "godwithatch/1"

// Keys holds the certificate and private key of this host and the CA certificates that
// the certificates of all hosts are verified against.
type Keys struct {
	certificate tls.Certificate
	caPool      *x509.CertPool
}

// LoadKeys reads the CA certificates, the certificate of this host and its private key
// from PEM files.
func LoadKeys(caFile, certFile, keyFile string) (*Keys, error) {
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fault.Wrap(fault.PeerFailed, fault.NotRun, err, "cannot load certificate %q with key %q", certFile, keyFile)
	}
	ca, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fault.Wrap(fault.PeerFailed, fault.NotRun, err, "cannot read CA certificates from %q", caFile)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, fault.New(fault.PeerFailed, fault.NotRun, "CA file %q contains no valid certificate", caFile)
	}
	return &Keys{certificate, pool}, nil
}

// serverConfig returns the TLS configuration for incoming connections, whose client
// certificate must be signed by the CA.
func (k *Keys) serverConfig() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{k.certificate},
		ClientCAs:    k.caPool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{alpnProtocol},
		MinVersion:   tls.VersionTLS13,
	}
}

// clientConfig returns the TLS configuration for a connection to a host, whose
// certificate must be valid for the host's ID.
func (k *Keys) clientConfig(host string) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{k.certificate},
		RootCAs:      k.caPool,
		ServerName:   host,
		NextProtos:   []string{alpnProtocol},
		MinVersion:   tls.VersionTLS13,
	}
}
