package peer

import (
	"crypto/tls"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"storj.io/drpc/drpcconn"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/peerapi"
)

// openForgedLink opens a link with the given certificate and sends a hello with the
// given record. It returns the error of the daemon's response, if any. It keeps the
// link open for one second, because the link could otherwise end before the daemon
// knows that its response was sent.
func (c *cluster) openForgedLink(to *testNode, credentials *Credentials, record member.Member) error {
	from := netip.MustParseAddrPort("10.0.0.99:1")
	raw, err := c.net.dialFrom(from)(c.t.Context(), to.table.View().Self.Control)
	mustSucceed(c.t, err)
	conn := drpcconn.New(tls.Client(raw, &tls.Config{
		Certificates: []tls.Certificate{credentials.certificate}, InsecureSkipVerify: true,
	}))
	defer func() { _ = conn.Close() }()
	stream, err := peerapi.NewDRPCPeerClient(conn).Link(c.t.Context())
	mustSucceed(c.t, err)
	hello := &peerapi.Hello{Self: record.Record()}
	if err := stream.Send(&peerapi.LinkMessage{Kind: &peerapi.LinkMessage_Hello{Hello: hello}}); err != nil {
		return err
	}
	_, err = stream.Recv()
	time.Sleep(time.Second)
	return err
}

// Guards against peers that join with the name of another member, from another region
// or with a certificate of another CA.
func TestForgedPeersAreRefused(t *testing.T) {
	otherCA, err := NewAuthority()
	mustSucceed(t, err)
	for name, forge := range map[string]func(a *Authority, m *member.Member) (*Credentials, error){
		"valid":                         func(a *Authority, m *member.Member) (*Credentials, error) { return a.Issue("m", testRegion) },
		"wrong CA":                      func(_ *Authority, m *member.Member) (*Credentials, error) { return otherCA.Issue("m", testRegion) },
		"name of another member":        func(a *Authority, m *member.Member) (*Credentials, error) { return a.Issue("other", testRegion) },
		"certificate of another region": func(a *Authority, m *member.Member) (*Credentials, error) { return a.Issue("m", "tn-north") },
		"member of another region": func(a *Authority, m *member.Member) (*Credentials, error) {
			m.Region = "tn-north"
			return a.Issue("m", "tn-north")
		},
	} {
		t.Run(name, func(t *testing.T) {
			inMemory(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				n := c.start("vm", "z1")
				record := n.table.View().Self
				record.Name, record.Control = "m", netip.MustParseAddrPort("10.0.0.99:1")
				credentials, err := forge(c.authority, &record)
				is.NoErr(err)
				err = c.openForgedLink(n, credentials, record)
				_, joined := n.table.View().Get("m")
				refused := n.cfg.Metrics.Refusals().Value(metrics.PeerRefused)
				if name == "valid" {
					is.NoErr(err)
					is.True(joined)
					is.Equal(refused, int64(0))
					return
				}
				is.True(err != nil)
				is.True(!joined)
				is.Equal(refused, int64(1))
			})
		})
	}
}

// Guards against a link to a daemon at the address of another member.
func TestWrongNameAtAddressIsRefused(t *testing.T) {
	inMemory(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		n, other := c.start("vm", "z1"), c.start("other", "z1")
		record := other.table.View().Self
		record.Name = "ghost"
		n.table.Apply("other", []member.Member{record})
		within(t, time.Second, "refusal", func() bool {
			return n.cfg.Metrics.Refusals().Value(metrics.PeerRefused) > 0
		})
		_, err := n.PutExceptions(t.Context(), "ghost", &peerapi.ExceptionBatch{})
		is.True(err != nil)
	})
}

// Guards against a daemon whose settings and certificate name different members.
func TestCertificateMustMatchSettings(t *testing.T) {
	is := is.New(t)
	authority, err := NewAuthority()
	is.NoErr(err)
	credentials, err := authority.Issue("other", testRegion)
	is.NoErr(err)
	self := member.Member{Name: "vm", Region: testRegion, Zone: "z1", Capacity: 1,
		Control: netip.MustParseAddrPort("10.0.0.1:1"), Data: netip.MustParseAddrPort("10.0.0.1:2")}
	table, err := member.New(member.Config{Self: self})
	is.NoErr(err)
	config := Config{Table: table, Tables: new(fakeTables), Handler: fakeHandler{table}, Credentials: credentials}
	is.True(config.check() != nil)
}
