package peers

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// issuer is a certificate authority that issues certificates for the loopback address.
type issuer struct {
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newIssuer() *issuer {
	GinkgoHelper()
	i := &issuer{dir: GinkgoT().TempDir()}
	i.key = newKey()
	i.cert = &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	i.write("ca.pem", "CERTIFICATE", i.sign(i.cert, &i.key.PublicKey))
	return i
}

func newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	return key
}

func (i *issuer) sign(cert *x509.Certificate, key *ecdsa.PublicKey) []byte {
	der, err := x509.CreateCertificate(rand.Reader, cert, i.cert, key, i.key)
	Expect(err).NotTo(HaveOccurred())
	return der
}

func (i *issuer) write(name, kind string, der []byte) string {
	path := filepath.Join(i.dir, name)
	Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(Succeed())
	return path
}

// config returns the TLS configuration of an instance with a new certificate of this issuer.
func (i *issuer) config() *tls.Config {
	GinkgoHelper()
	key := newKey()
	keyDER, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	cert := &x509.Certificate{SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	cfg, err := LoadTLS(
		i.write("cert.pem", "CERTIFICATE", i.sign(cert, &key.PublicKey)),
		i.write("key.pem", "EC PRIVATE KEY", keyDER),
		filepath.Join(i.dir, "ca.pem"))
	Expect(err).NotTo(HaveOccurred())
	return cfg
}

var _ = Describe("an encrypted call", func() {
	It("succeeds if both certificates have the same issuer, and is refused otherwise", func() {
		ours, theirs := newIssuer(), newIssuer()
		address := startServer(Security{Secret: "secret", TLS: ours.config()})
		Expect(ping(Security{Secret: "secret", TLS: ours.config()}, address)).To(Succeed())
		Expect(ping(Security{Secret: "secret", TLS: theirs.config()}, address)).To(MatchError(ErrNoReply))
		Expect(ping(Security{Secret: "secret"}, address)).To(MatchError(ErrNoReply))
	})

	It("requires all three files", func() {
		_, err := LoadTLS("", "missing", "missing")
		Expect(err).To(MatchError(ErrCertificate))
	})
})
