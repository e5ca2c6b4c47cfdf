package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/godwithatch/godwithatch/modules/fault"
)

// alpnProtocol is the ALPN name with which hosts negotiate the protocol version.
const alpnProtocol = "godwithatch/1"

// Credentials holds the certificate and private key of this host and the CA
// certificates that the certificates of all hosts are verified against.
type Credentials struct {
	certificate tls.Certificate
	caPool      *x509.CertPool
}

// LoadCredentials reads the CA certificates, the certificate of this host and its
// private key from PEM files.
func LoadCredentials(caFile, certFile, keyFile string) (*Credentials, error) {
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
	return &Credentials{certificate, pool}, nil
}

// serverConfig returns the TLS configuration for incoming connections. It requires a
// client certificate that is signed by the CA.
func (c *Credentials) serverConfig() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{c.certificate},
		ClientCAs:    c.caPool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{alpnProtocol},
		MinVersion:   tls.VersionTLS13,
	}
}

// clientConfig returns the TLS configuration for a connection to a host. It requires that
// the host's certificate is valid for the host's ID.
func (c *Credentials) clientConfig(host string) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{c.certificate},
		RootCAs:      c.caPool,
		ServerName:   host,
		NextProtos:   []string{alpnProtocol},
		MinVersion:   tls.VersionTLS13,
	}
}
