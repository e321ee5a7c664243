package backend

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// ServerName is the DNS name in the certificate that all servers of a site share.
const ServerName = "service.example"

const (
	certificateValidity = 24 * time.Hour
	// quicPacketSize keeps packets below the MTU of a virtual host.
	quicPacketSize = 1250
	// quicIdleTimeout closes a connection on which nothing arrives. It is longer
	// than the balancers need to detect a crash and repair the flow.
	quicIdleTimeout = 10 * time.Second
	// quicHandshakeTimeout bounds the handshake. It too is longer than crash
	// detection and repair.
	quicHandshakeTimeout = 5 * time.Second
	quicKeepAlive        = 2 * time.Second
)

// Identity is the TLS identity that all servers of a site share.
type Identity struct {
	// Server and Client are the TLS configurations of the two ends of an HTTP/3
	// connection.
	Server, Client *tls.Config
}

// NewIdentity generates a key and a self-signed certificate.
func NewIdentity() (*Identity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: ServerName}, DNSNames: []string{ServerName},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(certificateValidity),
		IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "create certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse certificate")
	}
	roots := x509.NewCertPool()
	roots.AddCert(cert)
	pair := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: cert}
	return &Identity{
		Server: http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS13}),
		Client: &tls.Config{RootCAs: roots, ServerName: ServerName, MinVersion: tls.VersionTLS13},
	}, nil
}

// QUICConfig returns the QUIC configuration of both ends of a connection between
// virtual hosts.
func QUICConfig() *quic.Config {
	return &quic.Config{
		InitialPacketSize: quicPacketSize, DisablePathMTUDiscovery: true,
		MaxIdleTimeout: quicIdleTimeout, HandshakeIdleTimeout: quicHandshakeTimeout, KeepAlivePeriod: quicKeepAlive,
	}
}
