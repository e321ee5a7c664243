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

// inMemory runs a test with a cluster on a network in memory and fake time.
func inMemory(t *testing.T, f func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) { f(t, newCluster(t, newMemNet())) })
}

// Guards against members that do not find each other through one contact, and
// against a link count that grows with the region.
func TestMembersMeetThroughOneContact(t *testing.T) {
	inMemory(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.startZones(12, "z1", "z2", "z3")
		within(t, 2*time.Second, "all members know all", func() bool { return agree(c.nodes, c.nodes) })
		time.Sleep(2 * meetLinkLife)
		links := 0
		for _, n := range c.nodes {
			links += len(n.Linked())
		}
		is.True(links <= len(c.nodes)*2*member.LinkCount)
	})
}

// Guards against a crash that is detected late, and a leave that is taken for
// a crash.
func TestCrashAndLeave(t *testing.T) {
	inMemory(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.startZones(6, "z1", "z2")
		within(t, 2*time.Second, "all members know all", func() bool { return agree(c.nodes, c.nodes) })
		time.Sleep(meetLinkLife)
		c.nodes[5].Kill()
		took := within(t, 2500*time.Millisecond, "crash detected", func() bool { return agree(c.nodes[:5], c.nodes[:5]) })
		is.True(took >= member.SuspectAfter)

		leaver, rest := c.nodes[4], c.nodes[:4]
		is.NoErr(leaver.AnnounceLeaving(t.Context()))
		is.True(agree(rest, rest)) // in force at once
		is.NoErr(leaver.Leave(t.Context()))
		within(t, time.Second, "member has left", func() bool {
			m, _ := rest[0].table.View().Get(leaver.name)
			return m.State == member.Left
		})
		time.Sleep(5 * time.Second)
		is.True(agree(rest, rest))
		for _, n := range rest {
			is.Equal(n.cfg.Metrics.Totals().Value(metrics.MembersDied), int64(1)) // the crash only
		}
	})
}

// Guards against a ring that falls apart when a whole zone fails at once.
func TestWholeZoneLossConverges(t *testing.T) {
	inMemory(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.startZones(15, "z1", "z2", "z3")
		within(t, 2*time.Second, "all members know all", func() bool { return agree(c.nodes, c.nodes) })
		lost, rest := c.splitByZone("z2")
		for _, n := range lost {
			n.Kill()
		}
		within(t, 5*time.Second, "survivors agree", func() bool { return agree(rest, rest) })
		time.Sleep(10 * time.Second)
		is.True(agree(rest, rest))
	})
}

// Guards against zones that stay apart after a partition, and against a rejoin
// during which members of one side lose slots on their own side.
func TestPartitionedZonesRejoin(t *testing.T) {
	inMemory(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.startZones(10, "z1", "z2")
		within(t, 2*time.Second, "all members know all", func() bool { return agree(c.nodes, c.nodes) })
		left, right := c.splitByZone("z1")
		inLeft := make(map[netip.Addr]bool)
		for _, n := range left {
			inLeft[n.table.View().Self.Control.Addr()] = true
		}
		c.net.partition(func(a, b netip.Addr) bool { return inLeft[a] != inLeft[b] })
		within(t, 6*time.Second, "each side is on its own", func() bool { return agree(left, left) && agree(right, right) })
		time.Sleep(20 * time.Second)
		is.True(agree(left, left) && agree(right, right))

		for i, n := range c.nodes {
			own := left
			if i%2 == 1 {
				own = right
			}
			n.table.OnChange(func(v *member.View) {
				for _, other := range own {
					if m, ok := v.Get(other.name); !ok || !m.Serves() {
						t.Errorf("%s lost %s of its own side during the rejoin", n.name, other.name)
					}
				}
			})
		}
		c.net.partition(func(netip.Addr, netip.Addr) bool { return false })
		within(t, 10*time.Second, "both sides are one", func() bool { return agree(c.nodes, c.nodes) })
	})
}

// Guards against a connection that goes silent for good while new ones work:
// it must be replaced, and nobody may be declared dead.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	inMemory(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.startZones(4, "z1", "z2")
		within(t, 2*time.Second, "all members know all", func() bool { return agree(c.nodes, c.nodes) })
		all := func(netip.Addr, netip.Addr) bool { return true }
		c.net.partition(all)
		c.net.partition(func(netip.Addr, netip.Addr) bool { return false })
		time.Sleep(10 * time.Second)
		is.True(agree(c.nodes, c.nodes))
		for _, n := range c.nodes {
			is.Equal(n.cfg.Metrics.Totals().Value(metrics.MembersDied), int64(0))
			is.True(n.cfg.Metrics.Retries().Value(metrics.LinkBroken) > 0)
		}
	})
}

// directory is a fixed list of VMs.
type directory []store.VM

func (d directory) VMs(context.Context) ([]store.VM, error) { return d, nil }

// Guards against a daemon without configured contacts that does not find its
// region, and against contacts taken from another region.
func TestDirectoryGivesContacts(t *testing.T) {
	inMemory(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.start("a", "z1")
		met, elsewhere := c.contacts[0], netip.MustParseAddrPort("10.0.0.77:1")
		list := directory{
			{Name: "a", Region: testRegion, Control: met},
			{Name: "x", Region: "tn-north", Control: elsewhere},
		}
		self := member.Member{Name: "b", Region: testRegion, Zone: "z2", Capacity: 1,
			Control: netip.MustParseAddrPort("10.0.0.2:1"), Data: netip.MustParseAddrPort("10.0.0.2:2")}
		b := c.run(self, Config{
			Listener: c.net.listen(self.Control), Dial: c.net.dialFrom(self.Control), VMLister: list,
			Events: events.Discard(), Metrics: metrics.NewRegistry(),
		})
		within(t, 3*time.Second, "members know each other", func() bool { return agree(c.nodes, c.nodes) })
		for _, candidate := range b.candidates() {
			is.True(candidate.address != elsewhere)
		}
	})
}

// Guards against a Run that hangs or returns an error when its context ends.
func TestRunEndsWithContext(t *testing.T) {
	inMemory(t, func(t *testing.T, c *cluster) {
		c.startZones(3, "z1")
		within(t, 2*time.Second, "all members know all", func() bool { return agree(c.nodes, c.nodes) })
		ctx, cancel := context.WithCancel(t.Context())
		n := c.start("extra", "z2")
		n.Kill()
		cancel()
		is.New(t).Equal(n.Run(ctx), ErrStopped)
	})
}
