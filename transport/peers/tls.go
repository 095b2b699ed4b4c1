package peers

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// ErrCertificate means that the certificate settings cannot be used.
var ErrCertificate = errors.New("peers: invalid certificate settings")

// LoadTLS reads the certificates with which instances authenticate one another. Each instance presents
// its own certificate, issued for its IP address, and requires one issued by the same authority. The
// files are in PEM format. If no file is given, it returns nil: connections are not encrypted.
func LoadTLS(certFile, keyFile, caFile string) (*tls.Config, error) {
	if certFile == "" && keyFile == "" && caFile == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, fmt.Errorf("%w: tls_cert, tls_key: %w", ErrCertificate, err)
	}
	text, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("%w: tls_ca: %w", ErrCertificate, err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%w: tls_ca: %s contains no certificate", ErrCertificate, caFile)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      authorities,
		ClientCAs:    authorities,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
