package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/godwithatch/godwithatch/modules/fault"
)

// protocol is the name by which hosts agree on the version of the protocol.
const protocol = "godwithatch/1"

// Keys are the certificate of this host and the authority that signs those of
// all hosts.
type Keys struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// LoadKeys reads three PEM files.
func LoadKeys(caFile, certFile, keyFile string) (*Keys, error) {
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fault.Wrap(fault.PeerFailed, fault.NotRun, err, "certificate %q and key %q cannot be used", certFile, keyFile)
	}
	ca, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fault.Wrap(fault.PeerFailed, fault.NotRun, err, "authority %q cannot be read", caFile)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, fault.New(fault.PeerFailed, fault.NotRun, "authority %q holds no certificate", caFile)
	}
	return &Keys{certificate, pool}, nil
}

func (k *Keys) server() *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{k.certificate},
		ClientCAs:    k.authority,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		NextProtos:   []string{protocol},
		MinVersion:   tls.VersionTLS13,
	}
}

// client returns the configuration for a connection to the named host, whose
// certificate must carry that name.
func (k *Keys) client(host string) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{k.certificate},
		RootCAs:      k.authority,
		ServerName:   host,
		NextProtos:   []string{protocol},
		MinVersion:   tls.VersionTLS13,
	}
}
