package directory

import (
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

var epoch = time.Unix(1000, 0)

func testServer(name string, number uint64, created uint64) *Server {
	return &Server{
		Name: name, Number: number, Cookie: CookieOf(number), Pool: "p", Slots: 2, Zone: "a",
		Endpoint: netip.MustParseAddrPort("10.0.0.1:80"), CreateRevision: created, Revision: created,
	}
}

// applyAndBuild applies changes, expires servers and returns the new directory.
func applyAndBuild(t *testing.T, b *Builder, now time.Time, changes ...Change) *Directory {
	t.Helper()
	b.Apply(changes, Position{}, now)
	b.Expire(now, now)
	return b.Build()
}

func names(servers []*Server) []string {
	out := []string{}
	for _, s := range servers {
		out = append(out, s.Name)
	}
	return out
}

// Guards against the cookie 0, which stands for no server, and against cookies
// that ignore the upper half of a number of more than 32 bits.
func TestCookieOf(t *testing.T) {
	is := is.New(t)
	is.Equal(CookieOf(0x7f3a91c2), Cookie(0x7f3a91c2))
	is.Equal(CookieOf(0x0000000100000002), Cookie(3))
	is.True(CookieOf(0x0000000500000005) != 0)
}

// Guards against flows that go to the wrong one of two servers with the same
// cookie. The server that registered first has the cookie, in whatever order a
// daemon learns of the two. The other one gets no flows until the first is gone.
func TestCollidingCookies(t *testing.T) {
	first, second := testServer("i-1", 3, 10), testServer("i-2", 0x0000000100000002, 20)
	for name, order := range map[string][]Change{
		"first seen first": {{Server: first}, {Server: second}},
		"first seen last":  {{Server: second}, {Server: first}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := NewBuilder()
			refused := b.Apply(order, Position{Revision: 30}, epoch)
			is.Equal(len(refused), 1)
			is.Equal(refused[0].Reason, ReasonCollision)
			d := b.Build()
			is.Equal(names(d.Candidates("p")), []string{"i-1"})
			is.Equal(d.ByCookie(3).Name, "i-1")

			b.Apply([]Change{{Deleted: "i-1"}}, Position{Revision: 31}, epoch)
			b.Expire(epoch.Add(DefaultRetention.Missing), epoch.Add(DefaultRetention.Missing))
			is.Equal(names(b.Build().Candidates("p")), []string{"i-2"})
		})
	}
}

// Guards against a shared cookie that moves to the other server, which resets the flows of
// the first one, when registrations expire and come back in another order (review case 5).
func TestCollidingCookieStaysWithItsServer(t *testing.T) {
	is := is.New(t)
	register := func(name string, number uint64, started int64, createRevision uint64) Change {
		s := testServer(name, number, createRevision)
		s.Started = started
		return Change{Server: s}
	}
	b := NewBuilder()
	d := applyAndBuild(t, b, epoch, register("i-1", 3, 1000, 10), register("i-2", 1<<32|2, 2000, 20))
	is.Equal(d.ByCookie(3).Name, "i-1")
	d = applyAndBuild(t, b, epoch.Add(time.Second), Change{Deleted: "i-1"}, Change{Deleted: "i-2"})
	is.Equal(d.ByCookie(3).Name, "i-1")
	d = applyAndBuild(t, b, epoch.Add(2*time.Second), register("i-2", 1<<32|2, 2000, 30))
	is.Equal(d.ByCookie(3).Name, "i-1")
	d = applyAndBuild(t, b, epoch.Add(2*time.Second), register("i-1", 3, 1000, 40))
	is.Equal(d.ByCookie(3).Name, "i-1")
	// Servers that started in the same millisecond, and an entry that states no start.
	d = applyAndBuild(t, b, epoch.Add(2*time.Second), register("i-2", 1<<32|2, 1000, 30), register("i-3", 2<<32|1, 0, 5))
	is.Equal(d.ByCookie(3).Name, "i-1")
}

// Guards against new flows to a draining server, and against open flows that
// break because their server is draining or has deregistered.
func TestDrainingServersKeepTheirFlows(t *testing.T) {
	is := is.New(t)
	b := NewBuilder()
	draining := testServer("i-1", 1, 1)
	draining.Draining = true
	d := applyAndBuild(t, b, epoch, Change{Server: draining}, Change{Server: testServer("i-2", 2, 2)})
	is.Equal(names(d.Candidates("p")), []string{"i-2"})
	is.Equal(d.ByCookie(1).Name, "i-1")

	d = applyAndBuild(t, b, epoch.Add(time.Second), Change{Deleted: "i-1"})
	is.Equal(d.ByCookie(1).Name, "i-1") // packets of open flows still find it
	is.True(d.ByCookie(1).Retired)
	d = applyAndBuild(t, b, epoch.Add(time.Second+DefaultRetention.Retired))
	is.True(d.ByCookie(1) == nil)
}

// Guards against an outage of the store that empties a pool. The servers of
// registrations that expired with it register again within 2 s; a server that is
// still missing then is gone.
func TestLapsedRegistrations(t *testing.T) {
	is := is.New(t)
	b := NewBuilder()
	applyAndBuild(t, b, epoch, Change{Server: testServer("i-1", 1, 1)}, Change{Server: testServer("i-2", 2, 2)})
	d := applyAndBuild(t, b, epoch.Add(time.Second), Change{Deleted: "i-1"}, Change{Deleted: "i-2"})
	is.Equal(names(d.Candidates("p")), []string{"i-1", "i-2"})

	d = applyAndBuild(t, b, epoch.Add(2*time.Second), Change{Server: testServer("i-2", 2, 9)})
	is.Equal(names(d.Candidates("p")), []string{"i-1", "i-2"}) // the first server back does not get all flows

	d = applyAndBuild(t, b, epoch.Add(time.Second+DefaultRetention.Missing), Change{Deleted: "i-2"})
	is.Equal(names(d.Candidates("p")), []string{"i-2"})
	d = applyAndBuild(t, b, epoch.Add(time.Second+2*DefaultRetention.Missing))
	is.Equal(len(d.Candidates("p")), 0)
	is.True(d.ByCookie(1) != nil)
}

// Guards against new flows to a crashed server while most of its pool is registered.
func TestCrashedServerTakesNoFlows(t *testing.T) {
	is := is.New(t)
	b := NewBuilder()
	applyAndBuild(t, b, epoch, Change{Server: testServer("i-1", 1, 1)}, Change{Server: testServer("i-2", 2, 2)}, Change{Server: testServer("i-3", 3, 3)})
	d := applyAndBuild(t, b, epoch.Add(time.Second), Change{Deleted: "i-1"})
	is.Equal(names(d.Candidates("p")), []string{"i-2", "i-3"})
}

// Guards against a missing server that takes new flows for too long because its
// deletion arrived late. The time counts from when a daemon read the deletion from
// the store.
func TestMissingSinceTheStoreWasRead(t *testing.T) {
	is := is.New(t)
	b := NewBuilder()
	applyAndBuild(t, b, epoch, Change{Server: testServer("i-1", 1, 1)})
	late := epoch.Add(2 * time.Second)
	d := applyAndBuild(t, b, late, Change{Deleted: "i-1", ReadAt: epoch})
	is.Equal(len(d.Candidates("p")), 1)
	d = applyAndBuild(t, b, epoch.Add(DefaultRetention.Missing))
	is.Equal(len(d.Candidates("p")), 0)
}

// Guards against an invalid entry, written by another program, that keeps its
// server in use or removes other servers.
func TestInvalidEntryNamesNoServer(t *testing.T) {
	is := is.New(t)
	b := NewBuilder()
	applyAndBuild(t, b, epoch, Change{Server: testServer("i-1", 1, 1)}, Change{Server: testServer("i-2", 2, 2)})
	refused := b.Apply([]Change{{Invalid: "i-1", Problem: errors.New("no address"), Revision: 5}}, Position{Revision: 5}, epoch)
	is.Equal(refused, []Refusal{{Revision: 5, Subject: "i-1", Reason: "no address"}})
	is.Equal(names(b.Build().Candidates("p")), []string{"i-2"})
}

// Guards against going back to an older configuration, and against losing the
// configuration when a later value cannot be decoded.
func TestConfigurationNeverReverts(t *testing.T) {
	is := is.New(t)
	b := NewBuilder()
	route := Route{Name: "r", Address: netip.MustParseAddrPort("198.18.0.1:80"), Shares: []Share{{"p", 1}}}
	applyAndBuild(t, b, epoch, Change{Config: &Config{Version: 7, Routes: []Route{route}}})
	refused := b.Apply([]Change{{Config: &Config{Version: 6}}, {Problem: errors.New("not JSON")}}, Position{Revision: 9}, epoch)
	is.Equal(len(refused), 2)
	is.Equal(refused[0].Reason, ReasonOldVersion)
	d := b.Build()
	is.Equal(d.Config.Version, uint64(7))
	is.Equal(d.Route(route.Address).Name, "r")
	is.True(d.Route(netip.MustParseAddrPort("198.18.0.1:81")) == nil)
}

// Guards against a pool whose share of the flows differs from its weight.
func TestRoutePool(t *testing.T) {
	is := is.New(t)
	r := Route{Shares: []Share{{"a", 90}, {"b", 10}}}
	count := map[string]int{}
	for draw := range uint64(1000) {
		count[r.Pool(draw)]++
	}
	is.Equal(count, map[string]int{"a": 900, "b": 100})
}

// Guards against pools that become empty when the store fails again right after a
// daemon has read that all registrations expired. The daemon cannot see then whether
// the servers have registered again (soak seeds 406 and 418).
func TestLapsedServersStayWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	b := NewBuilder()
	applyAndBuild(t, b, epoch, Change{Server: testServer("i-1", 1, 1)}, Change{Server: testServer("i-2", 2, 2)})
	applyAndBuild(t, b, epoch, Change{Deleted: "i-1"}, Change{Deleted: "i-2"})
	seen := epoch.Add(100 * time.Millisecond)
	b.Expire(epoch.Add(time.Minute), seen)
	is.Equal(names(b.Build().Candidates("p")), []string{"i-1", "i-2"})

	back := epoch.Add(time.Minute)
	b.Apply([]Change{{Server: testServer("i-2", 2, 9)}}, Position{Revision: 9}, back)
	is.Equal(names(b.Build().Candidates("p")), []string{"i-1", "i-2"})
	b.Expire(back, back)
	is.Equal(names(b.Build().Candidates("p")), []string{"i-2"})

	// No server of the pool is missing any more: one that vanishes now has crashed.
	b.Apply([]Change{{Server: testServer("i-3", 3, 10)}, {Server: testServer("i-4", 4, 11)}}, Position{Revision: 11}, back)
	b.Apply([]Change{{Deleted: "i-3"}}, Position{Revision: 12}, back)
	is.Equal(names(b.Build().Candidates("p")), []string{"i-2", "i-4"})
}

// Guards against refusing a configuration of which one value had to be limited, and against
// not reporting that value.
func TestConfigurationWithALimitedValueIsApplied(t *testing.T) {
	is := is.New(t)
	b := NewBuilder()
	refused := b.Apply([]Change{{Config: &Config{Version: 3}, Problem: errors.New("priority is limited")}}, Position{}, time.Unix(1, 0))
	is.Equal(refused, []Refusal{{Subject: "config", Reason: "priority is limited"}})
	is.Equal(b.Build().Config.Version, uint64(3))
}
