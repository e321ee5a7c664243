package peer

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/store"
)

// inMemory runs a test with a cluster on an in-memory network and fake time.
func inMemory(t *testing.T, f func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) { f(t, newCluster(t, newMemNet())) })
}

// Guards against members that do not find each other through one seed, and against
// a number of links per member that grows with the region.
func TestMembersJoinThroughOneSeed(t *testing.T) {
	inMemory(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.startZones(12, "z1", "z2", "z3")
		within(t, 2*time.Second, "all members serve", func() bool { return allServe(c.nodes, c.nodes) })
		time.Sleep(2 * discoveryLinkDuration)
		links := 0
		for _, n := range c.nodes {
			links += len(n.Linked())
		}
		is.True(links <= len(c.nodes)*2*member.LinkCount)
	})
}

// Guards against a crash that is detected late, and against a leaving member that is
// declared dead.
func TestCrashAndLeave(t *testing.T) {
	inMemory(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.startZones(6, "z1", "z2")
		within(t, 2*time.Second, "all members serve", func() bool { return allServe(c.nodes, c.nodes) })
		time.Sleep(discoveryLinkDuration)
		c.nodes[5].Kill()
		took := within(t, 2500*time.Millisecond, "crash detected", func() bool { return allServe(c.nodes[:5], c.nodes[:5]) })
		is.True(took >= member.SuspectAfter)

		leaving, rest := c.nodes[4], c.nodes[:4]
		is.NoErr(leaving.AnnounceLeaving(t.Context()))
		is.True(allServe(rest, rest)) // as soon as AnnounceLeaving has returned
		is.NoErr(leaving.Leave(t.Context()))
		within(t, time.Second, "member has left", func() bool {
			m, _ := rest[0].table.View().Get(leaving.name)
			return m.State == member.Left
		})
		time.Sleep(5 * time.Second)
		is.True(allServe(rest, rest))
		for _, n := range rest {
			is.Equal(n.cfg.Metrics.Totals().Value(metrics.MembersDied), int64(1)) // only the crash counts
		}
	})
}

// Guards against a ring that splits when all members of a zone fail at once.
func TestWholeZoneLossConverges(t *testing.T) {
	inMemory(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.startZones(15, "z1", "z2", "z3")
		within(t, 2*time.Second, "all members serve", func() bool { return allServe(c.nodes, c.nodes) })
		failed, rest := c.splitByZone("z2")
		for _, n := range failed {
			n.Kill()
		}
		within(t, 5*time.Second, "remaining members serve", func() bool { return allServe(rest, rest) })
		time.Sleep(10 * time.Second)
		is.True(allServe(rest, rest))
	})
}

// Guards against zones that stay separate after a partition, and against members that
// lose slots on their own side while the zones rejoin.
func TestPartitionedZonesRejoin(t *testing.T) {
	inMemory(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.startZones(10, "z1", "z2")
		within(t, 2*time.Second, "all members serve", func() bool { return allServe(c.nodes, c.nodes) })
		left, right := c.splitByZone("z1")
		inLeft := make(map[netip.Addr]bool)
		for _, n := range left {
			inLeft[n.table.View().Self.Control.Addr()] = true
		}
		c.net.partition(func(a, b netip.Addr) bool { return inLeft[a] != inLeft[b] })
		within(t, 6*time.Second, "each side serves on its own", func() bool { return allServe(left, left) && allServe(right, right) })
		time.Sleep(20 * time.Second)
		is.True(allServe(left, left) && allServe(right, right))

		for i, n := range c.nodes {
			ownSide := left
			if i%2 == 1 {
				ownSide = right
			}
			n.table.OnChange(func(v *member.View) {
				for _, other := range ownSide {
					if m, ok := v.Get(other.name); !ok || !m.Serves() {
						t.Errorf("%s lost %s, a member of its own side, during the rejoin", n.name, other.name)
					}
				}
			})
		}
		c.net.partition(func(netip.Addr, netip.Addr) bool { return false })
		within(t, 10*time.Second, "both sides have rejoined", func() bool { return allServe(c.nodes, c.nodes) })
	})
}

// Guards against a connection that stays silent while new connections work. It must
// be replaced before the peer is declared dead.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	inMemory(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.startZones(4, "z1", "z2")
		within(t, 2*time.Second, "all members serve", func() bool { return allServe(c.nodes, c.nodes) })
		all := func(netip.Addr, netip.Addr) bool { return true }
		c.net.partition(all)
		c.net.partition(func(netip.Addr, netip.Addr) bool { return false })
		time.Sleep(10 * time.Second)
		is.True(allServe(c.nodes, c.nodes))
		for _, n := range c.nodes {
			is.Equal(n.cfg.Metrics.Totals().Value(metrics.MembersDied), int64(0))
			is.True(n.cfg.Metrics.Retries().Value(metrics.LinkBroken) > 0)
		}
	})
}

// fixedVMList is a VMLister that returns a fixed list.
type fixedVMList []store.VM

func (l fixedVMList) VMs(context.Context) ([]store.VM, error) { return l, nil }

// Guards against a daemon without configured seeds that does not join its region, and
// against seeds from another region.
func TestVMListProvidesSeeds(t *testing.T) {
	inMemory(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.start("a", "z1")
		seed, foreign := c.seeds[0], netip.MustParseAddrPort("10.0.0.77:1")
		list := fixedVMList{
			{Name: "a", Region: testRegion, Control: seed},
			{Name: "x", Region: "tn-north", Control: foreign},
		}
		self := member.Member{Name: "b", Region: testRegion, Zone: "z2", Capacity: 1,
			Control: netip.MustParseAddrPort("10.0.0.2:1"), Data: netip.MustParseAddrPort("10.0.0.2:2")}
		b := c.startNode(self, Config{
			Listener: c.net.listen(self.Control), Dial: c.net.dialFrom(self.Control), VMLister: list,
			Events: events.Discard(), Metrics: metrics.NewRegistry(),
		})
		within(t, 3*time.Second, "both members serve", func() bool { return allServe(c.nodes, c.nodes) })
		for _, candidate := range b.candidates() {
			is.True(candidate.address != foreign)
		}
	})
}

// Guards against a Run that serves after Kill, instead of returning ErrStopped.
func TestRunAfterKillIsRefused(t *testing.T) {
	inMemory(t, func(t *testing.T, c *cluster) {
		c.startZones(3, "z1")
		within(t, 2*time.Second, "all members serve", func() bool { return allServe(c.nodes, c.nodes) })
		ctx, cancel := context.WithCancel(t.Context())
		n := c.start("extra", "z2")
		n.Kill()
		cancel()
		is.New(t).Equal(n.Run(ctx), ErrStopped)
	})
}
