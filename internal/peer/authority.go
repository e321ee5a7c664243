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
	// maxClockSkew is how far a VM's clock may be behind when it verifies a new
	// certificate.
	maxClockSkew = time.Hour
	// authorityLifetime is the validity of a CA in memory and of the certificates
	// that it issues. No run of dev or of a test lasts longer.
	authorityLifetime = 30 * 24 * time.Hour
)

// Authority is a private CA in memory, for dev and tests. Production sites create
// their CA with their own tools.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewAuthority returns a CA with a new key.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate CA key")
	}
	template := newTemplate(pkix.Name{CommonName: "knapweedshore CA"})
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

// newTemplate returns a certificate template with a serial number and a validity.
func newTemplate(subject pkix.Name) *x509.Certificate {
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()),
		Subject:      subject,
		NotBefore:    now.Add(-maxClockSkew),
		NotAfter:     now.Add(authorityLifetime),
	}
}

// CertificatePEM returns the CA's certificate in PEM format.
func (a *Authority) CertificatePEM() []byte { return encodePEM("CERTIFICATE", a.cert.Raw) }

// IssuePEM issues a certificate to a member or an operator. It returns the
// certificate and its private key in PEM format.
func (a *Authority) IssuePEM(name member.Name, region string) (cert, key []byte, err error) {
	privateKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "generate key of %q", name)
	}
	template := newTemplate(pkix.Name{CommonName: string(name), OrganizationalUnit: []string{region}})
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, privateKey.Public(), a.key)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "sign certificate of %q", name)
	}
	pkcs8, err := x509.MarshalPKCS8PrivateKey(privateKey)
	if err != nil {
		return nil, nil, errors.Wrapf(err, "encode key of %q", name)
	}
	return encodePEM("CERTIFICATE", der), encodePEM("PRIVATE KEY", pkcs8), nil
}

// Issue issues credentials to a member or an operator.
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
