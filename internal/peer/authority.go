package peer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/member"
)

const (
	// clockSkew lets certificates be used by VMs whose clocks are behind.
	clockSkew = time.Hour
	// authorityLifetime is the validity of an in-memory CA and all that it
	// issues: longer than any run of dev or of a test.
	authorityLifetime = 30 * 24 * time.Hour
)

// Authority is a private CA in memory, for dev and tests. Sites make theirs
// with their own tools.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority makes a CA with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate CA key")
	}
	template := template(pkix.Name{CommonName: "knapweedshore CA"})
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "sign CA certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse CA certificate")
	}
	return &Authority{cert: cert, key: key}, nil
}

func template(subject pkix.Name) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      subject,
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(authorityLifetime),
	}
}

// CertificatePEM returns the CA's certificate.
func (a *Authority) CertificatePEM() []byte { return encodePEM("CERTIFICATE", a.cert.Raw) }

// IssuePEM returns a certificate and its key for a member or an operator.
func (a *Authority) IssuePEM(name member.Name, region string) (cert, key []byte, err error) {
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "generate key of %q", name)
	}
	template := template(pkix.Name{CommonName: string(name), OrganizationalUnit: []string{region}})
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, private.Public(), a.key)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "sign certificate of %q", name)
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "encode key of %q", name)
	}
	return encodePEM("CERTIFICATE", der), encodePEM("PRIVATE KEY", pkcs8), nil
}

// Issue returns credentials for a member or an operator.
func (a *Authority) Issue(name member.Name, region string) (*Credentials, error) {
	cert, key, err := a.IssuePEM(name, region)
	if err != nil {
		return nil, err
	}
	return ParseCredentials(a.CertificatePEM(), cert, key)
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
