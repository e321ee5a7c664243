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

// forgeLink opens a link with any certificate and says any hello, and holds it for
// a second: closed right after the answer, it could end before the daemon knows that
// its answer was sent. It returns what the daemon answers.
func (c *cluster) forgeLink(to *testNode, id *Credentials, claim member.Member) error {
	from := netip.MustParseAddrPort("10.0.0.99:1")
	raw, err := c.net.dialFrom(from)(c.t.Context(), to.table.View().Self.Control)
	check(c.t, err)
	conn := drpcconn.New(tls.Client(raw, &tls.Config{
		Certificates: []tls.Certificate{id.certificate}, InsecureSkipVerify: true,
	}))
	defer func() { _ = conn.Close() }()
	stream, err := peerapi.NewDRPCPeerClient(conn).Link(c.t.Context())
	check(c.t, err)
	hello := &peerapi.Hello{Self: claim.Record()}
	if err := stream.Send(&peerapi.LinkMessage{Kind: &peerapi.LinkMessage_Hello{Hello: hello}}); err != nil {
		return err
	}
	_, err = stream.Recv()
	time.Sleep(time.Second)
	return err
}

// Guards against members that join under a name, a region or a CA that is not
// theirs.
func TestForgedPeersAreRefused(t *testing.T) {
	stranger, err := NewAuthority()
	check(t, err)
	for name, forge := range map[string]func(a *Authority, m *member.Member) (*Credentials, error){
		"honest":                   func(a *Authority, m *member.Member) (*Credentials, error) { return a.Issue("m", testRegion) },
		"wrong CA":                 func(_ *Authority, m *member.Member) (*Credentials, error) { return stranger.Issue("m", testRegion) },
		"name of another":          func(a *Authority, m *member.Member) (*Credentials, error) { return a.Issue("other", testRegion) },
		"certificate of elsewhere": func(a *Authority, m *member.Member) (*Credentials, error) { return a.Issue("m", "tn-north") },
		"member of elsewhere": func(a *Authority, m *member.Member) (*Credentials, error) {
			m.Region = "tn-north"
			return a.Issue("m", "tn-north")
		},
	} {
		t.Run(name, func(t *testing.T) {
			inMemory(t, func(t *testing.T, c *cluster) {
				is := is.New(t)
				n := c.start("vm", "z1")
				claim := n.table.View().Self
				claim.Name, claim.Control = "m", netip.MustParseAddrPort("10.0.0.99:1")
				id, err := forge(c.authority, &claim)
				is.NoErr(err)
				err = c.forgeLink(n, id, claim)
				_, joined := n.table.View().Get("m")
				refused := n.cfg.Metrics.Refusals().Value(metrics.PeerRefused)
				if name == "honest" {
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

// Guards against a link to a daemon that answers at the address of another.
func TestWrongNameAtAddressIsRefused(t *testing.T) {
	inMemory(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		n, other := c.start("vm", "z1"), c.start("other", "z1")
		claim := other.table.View().Self
		claim.Name = "ghost"
		n.table.Apply("other", []member.Member{claim})
		within(t, time.Second, "refusal", func() bool {
			return n.cfg.Metrics.Refusals().Value(metrics.PeerRefused) > 0
		})
		_, err := n.PutExceptions(t.Context(), "ghost", &peerapi.ExceptionBatch{})
		is.True(err != nil)
	})
}

// Guards against settings that name another member than the certificate.
func TestCertificateMustMatchSettings(t *testing.T) {
	is := is.New(t)
	authority, err := NewAuthority()
	is.NoErr(err)
	id, err := authority.Issue("other", testRegion)
	is.NoErr(err)
	self := member.Member{Name: "vm", Region: testRegion, Zone: "z1", Capacity: 1,
		Control: netip.MustParseAddrPort("10.0.0.1:1"), Data: netip.MustParseAddrPort("10.0.0.1:2")}
	table, err := member.New(member.Config{Self: self})
	is.NoErr(err)
	config := Config{Table: table, Tables: new(fakeTables), Handler: fakeHandler{table}, Credentials: id}
	is.True(config.check() != nil)
}
