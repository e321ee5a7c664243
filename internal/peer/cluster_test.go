package peer

import (
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
)

const testRegion = "cartago"

// fakeTables implements Tables and only keeps a version, which it does not apply.
type fakeTables struct{ version atomic.Uint64 }

func (f *fakeTables) Version() tables.Version                                   { return tables.Version(f.version.Load()) }
func (f *fakeTables) Age() time.Duration                                        { return time.Second }
func (f *fakeTables) ObserveVersion(member.Name, tables.Version, time.Duration) {}
func (f *fakeTables) Offer(_ member.Name, v tables.Version, _ []byte)           { f.version.Store(uint64(v)) }
func (f *fakeTables) Fetch(v tables.Version) *peerapi.FetchTablesResponse {
	return &peerapi.FetchTablesResponse{Version: uint64(v) + 1}
}

// fakeHandler answers calls with values that show that the request arrived.
type fakeHandler struct{ table *member.Table }

func (f fakeHandler) StoreExceptions(_ member.Name, b *peerapi.ExceptionBatch) *peerapi.ExceptionAck {
	return &peerapi.ExceptionAck{Stored: uint32(len(b.GetAdded()))}
}

func (f fakeHandler) Status() *peerapi.StatusResponse {
	return &peerapi.StatusResponse{Self: f.table.View().Self.Record()}
}

// testNode is a daemon that has only a member table and a Node.
type testNode struct {
	*Node
	name   member.Name
	zone   string
	table  *member.Table
	tables *fakeTables
}

// cluster runs test nodes, on an in-memory network if net is set and on loopback
// otherwise.
type cluster struct {
	t         testing.TB
	net       *memNet
	authority *Authority
	seeds     []netip.AddrPort
	nodes     []*testNode
	group     conc.WaitGroup
}

// newCluster returns a cluster without nodes. Its nodes are killed at the end of the
// test.
func newCluster(t testing.TB, network *memNet) *cluster {
	authority, err := NewAuthority()
	mustSucceed(t, err)
	c := &cluster{t: t, net: network, authority: authority}
	t.Cleanup(func() {
		for _, n := range c.nodes {
			n.Kill()
		}
		c.group.Wait()
	})
	return c
}

// mustSucceed stops the test if err is not nil.
func mustSucceed(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// start starts a node. The first node is the seed of all others.
func (c *cluster) start(name member.Name, zone string) *testNode {
	self := member.Member{Name: name, Region: testRegion, Zone: zone, Capacity: 1}
	config := Config{Seeds: c.seeds, Events: events.Discard(), Metrics: metrics.NewRegistry()}
	if c.net != nil {
		self.Control = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(c.nodes) + 1)}), 1)
		config.Listener = c.net.listen(self.Control)
		config.Dial = c.net.dialFrom(self.Control)
	} else {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		mustSucceed(c.t, err)
		config.Listener, self.Control = l, l.Addr().(*net.TCPAddr).AddrPort()
	}
	self.Data = self.Control
	return c.startNode(self, config)
}

// startNode starts a node with the given record. It completes config.
func (c *cluster) startNode(self member.Member, config Config) *testNode {
	table, err := member.New(member.Config{
		Self: self, ExpectPeers: len(c.seeds) > 0, Events: config.Events, Metrics: config.Metrics,
	})
	mustSucceed(c.t, err)
	config.Credentials, err = c.authority.Issue(self.Name, self.Region)
	mustSucceed(c.t, err)
	n := &testNode{name: self.Name, zone: self.Zone, table: table, tables: new(fakeTables)}
	config.Table, config.Tables, config.Handler = table, n.tables, fakeHandler{table}
	n.Node, err = New(config)
	mustSucceed(c.t, err)
	c.seeds = append(c.seeds, self.Control)[:1]
	c.nodes = append(c.nodes, n)
	c.group.Go(func() { _ = n.Run(c.t.Context()) })
	c.group.Go(func() { _ = table.Run(c.t.Context()) })
	return n
}

// startZones starts count nodes and assigns them to the zones in turn.
func (c *cluster) startZones(count int, zones ...string) {
	for i := range count {
		c.start(member.Name(fmt.Sprintf("vm-%d", i)), zones[i%len(zones)])
	}
}

// allServe reports whether all nodes are eligible, and exactly the wanted nodes serve
// in the view of each of them.
func allServe(nodes []*testNode, want []*testNode) bool {
	for _, n := range nodes {
		if !n.table.Eligible(time.Now()) || !servesExactly(n.table.View(), want) {
			return false
		}
	}
	return true
}

// servesExactly reports whether the wanted nodes are alive in a view and no other
// member serves.
func servesExactly(v *member.View, want []*testNode) bool {
	for _, n := range want {
		if m, ok := v.Get(n.name); !ok || m.State != member.Alive {
			return false
		}
	}
	return len(v.Serving()) == len(want)
}

// within waits until a condition is true and returns how long that took. If it takes
// longer than limit, the test fails.
func within(t testing.TB, limit time.Duration, what string, condition func() bool) time.Duration {
	t.Helper()
	started := time.Now()
	for !condition() {
		if time.Since(started) > limit {
			t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(started)
}

// splitByZone returns the nodes in a zone and the nodes in other zones.
func (c *cluster) splitByZone(zone string) (in, out []*testNode) {
	for _, n := range c.nodes {
		if n.zone == zone {
			in = append(in, n)
		} else {
			out = append(out, n)
		}
	}
	return in, out
}
