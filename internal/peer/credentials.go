package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/member"
)

// Identity is the holder of a certificate of the private CA.
type Identity struct {
	// Name is the certificate's common name, which is the member's name.
	Name member.Name
	// Region is the certificate's only organizational unit.
	Region string
}

// Credentials prove the identity of a daemon or an operator.
type Credentials struct {
	Identity
	certificate tls.Certificate
	roots       *x509.CertPool
}

// LoadCredentials reads credentials from PEM files: the certificate of the private
// CA, and the holder's certificate and key.
func LoadCredentials(caFile, certFile, keyFile string) (*Credentials, error) {
	ca, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Wrap(err, "read CA file")
	}
	cert, err := os.ReadFile(certFile)
	if err != nil {
		return nil, errors.Wrap(err, "read certificate file")
	}
	key, err := os.ReadFile(keyFile)
	if err != nil {
		return nil, errors.Wrap(err, "read key file")
	}
	return ParseCredentials(ca, cert, key)
}

// ParseCredentials parses the contents of the files that LoadCredentials reads.
func ParseCredentials(ca, cert, key []byte) (*Credentials, error) {
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(ca) {
		return nil, errors.New("CA file contains no certificate")
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, errors.Wrap(err, "match certificate and key")
	}
	id, err := identityOf(pair.Leaf)
	if err != nil {
		return nil, err
	}
	return &Credentials{Identity: id, certificate: pair, roots: roots}, nil
}

// identityOf returns the identity in a certificate.
func identityOf(cert *x509.Certificate) (Identity, error) {
	units := cert.Subject.OrganizationalUnit
	if cert.Subject.CommonName == "" || len(units) != 1 || units[0] == "" {
		return Identity{}, refusedf("certificate %q must have a common name and one organizational unit, the region",
			cert.Subject)
	}
	return Identity{Name: member.Name(cert.Subject.CommonName), Region: units[0]}, nil
}

// tlsConfig returns the TLS configuration for one side of a connection. Both sides
// verify the other's certificate chain against the private CA. Certificates name
// members, not hosts, so check replaces the standard verification of the host name.
func (c *Credentials) tlsConfig(usage x509.ExtKeyUsage, check func(Identity) error) *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		Certificates:           []tls.Certificate{c.certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // VerifyConnection verifies the certificate
		SessionTicketsDisabled: true, // links are long-lived, so tickets would only cost bytes
		VerifyConnection: func(state tls.ConnectionState) error {
			id, err := c.verify(state, usage)
			if err != nil {
				return err
			}
			return check(id)
		},
	}
}

// verify verifies the peer's certificate chain and returns the peer's identity.
func (c *Credentials) verify(state tls.ConnectionState, usage x509.ExtKeyUsage) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, refusedf("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	leaf := state.PeerCertificates[0]
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: c.roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return Identity{}, refusedf("verify certificate of %q: %v", leaf.Subject.CommonName, err)
	}
	return identityOf(leaf)
}

// serverConfig returns the TLS configuration for incoming connections.
func (c *Credentials) serverConfig() *tls.Config {
	return c.tlsConfig(x509.ExtKeyUsageClientAuth, func(Identity) error { return nil })
}

// clientConfig returns the TLS configuration for outgoing connections. check may refuse
// the peer's identity.
func (c *Credentials) clientConfig(check func(Identity) error) *tls.Config {
	return c.tlsConfig(x509.ExtKeyUsageServerAuth, check)
}
