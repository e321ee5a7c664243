package fabric_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/sourcegraph/conc"

	"knapweedshore.example/standin/backend"
	"knapweedshore.example/standin/fabric"
	"knapweedshore.example/standin/fabric/fabrictest"
	"knapweedshore.example/standin/fabric/host"
	"knapweedshore.example/standin/fabric/inet"
)

const bodySize = 600_000

// addresses are the endpoints of a test for one IP version.
type addresses struct {
	caller  netip.Addr
	service netip.AddrPort
	servers [2]netip.AddrPort
}

var ipVersions = map[string]addresses{
	"IPv4": {netip.MustParseAddr("10.1.0.1"), netip.MustParseAddrPort("10.9.0.1:443"), [2]netip.AddrPort{
		netip.MustParseAddrPort("10.2.0.1:8443"), netip.MustParseAddrPort("10.2.0.2:8443")}},
	"IPv6": {netip.MustParseAddr("fd01::1"), netip.MustParseAddrPort("[fd09::1]:443"), [2]netip.AddrPort{
		netip.MustParseAddrPort("[fd02::1]:8443"), netip.MustParseAddrPort("[fd02::2]:8443")}},
}

func newFabric(t *testing.T) *fabric.Fabric {
	t.Helper()
	f, err := fabric.New(fabric.Options{Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Close() })
	return f
}

func newHost(t *testing.T, f *fabric.Fabric, addr netip.Addr) *host.Host {
	t.Helper()
	h, err := host.New(f, addr, fabric.Outside)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

// startServer runs an HTTP/3 server that answers every request with body.
func startServer(t *testing.T, f *fabric.Fabric, endpoint netip.AddrPort, tlsConfig *tls.Config, body []byte) {
	t.Helper()
	f.Ledger().AddServer(endpoint, "maps")
	conn, err := newHost(t, f, endpoint.Addr()).ListenUDP(endpoint.Port())
	if err != nil {
		t.Fatal(err)
	}
	server := &http3.Server{
		TLSConfig: tlsConfig, QUICConfig: backend.QUICConfig(),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }),
	}
	var worker conc.WaitGroup
	worker.Go(func() { _ = server.Serve(conn) })
	t.Cleanup(func() {
		_ = server.Close()
		_ = conn.Close()
		worker.Wait()
	})
}

// fetch returns the response body of one HTTP/3 request to the service.
func fetch(t *testing.T, h *host.Host, service netip.AddrPort, tlsConfig *tls.Config) ([]byte, error) {
	t.Helper()
	conn, err := h.DialUDP()
	if err != nil {
		return nil, err
	}
	transport := &quic.Transport{Conn: conn}
	client := &http3.Transport{
		TLSClientConfig: tlsConfig, QUICConfig: backend.QUICConfig(),
		Dial: func(ctx context.Context, _ string, c *tls.Config, q *quic.Config) (*quic.Conn, error) {
			return transport.Dial(ctx, net.UDPAddrFromAddrPort(service), c, q)
		},
	}
	defer func() {
		_ = client.Close()
		_ = transport.Close()
		_ = conn.Close()
	}()
	response, err := (&http.Client{Transport: client, Timeout: time.Minute}).Get("https://" + backend.ServerName + "/")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return io.ReadAll(response.Body)
}

// Guards against packets that the virtual host or the fabric damages or fails to
// record, and against violations that are reported for correct balancers.
func TestTransferThroughSprayedBalancers(t *testing.T) {
	identity, err := backend.NewIdentity()
	is.New(t).NoErr(err)
	body := make([]byte, bodySize)
	_, _ = rand.NewChaCha8([32]byte{}).Read(body)
	for name, a := range ipVersions {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFabric(t)
			f.SetCallerLatency(time.Millisecond)
			f.SetLoss(0.02)
			f.Ledger().AddService(inet.UDP, a.service, "maps")
			for _, s := range a.servers {
				startServer(t, f, s, identity.Server, body)
			}
			services := []fabrictest.Service{{Address: a.service, Servers: a.servers[:]}}
			for range 3 {
				f.AddBalancer(fabrictest.Start(t, f.Addr(), services, nil).Addr(), "a")
			}
			got, err := fetch(t, newHost(t, f, a.caller), a.service, identity.Client)
			is.NoErr(err)
			is.Equal(sha256.Sum256(got), sha256.Sum256(body))
			is.True(bytes.Equal(got, body))

			_, violations := f.Ledger().Violations()
			is.Equal(violations, 0)
			flows := f.Ledger().Flows()
			is.Equal(len(flows), 1)
			is.Equal(flows[0].Balancers, 3)
			is.Equal(len(flows[0].Servers), 1)
			is.True(f.Counts().LostOnPurpose > 0)
		})
	}
}
