package directory

import (
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func testServer(name string, number uint64, created uint64) *Server {
	return &Server{
		Name: name, Number: number, Cookie: CookieOf(number), Pool: "p", Slots: 2, Zone: "a",
		Endpoint: netip.MustParseAddrPort("10.0.0.1:80"), CreateRevision: created, Revision: created,
	}
}

func build(t *testing.T, b *Builder, now time.Time, changes ...Change) *Directory {
	t.Helper()
	b.Apply(changes, 0, now)
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

// Guards against cookies that name no server: 0 means none, and ids of more
// than 32 bits must not lose their upper half.
func TestCookieOf(t *testing.T) {
	is := is.New(t)
	is.Equal(CookieOf(0x7f3a91c2), Cookie(0x7f3a91c2))
	is.Equal(CookieOf(0x0000000100000002), Cookie(3))
	is.True(CookieOf(0x0000000500000005) != 0)
}

// Guards against flows that go to the wrong one of two servers with one cookie.
// The server that registered first keeps the cookie, in whatever order a daemon
// learns of them; the other one gets no flows until it is alone.
func TestCollidingCookies(t *testing.T) {
	first, second := testServer("i-1", 3, 10), testServer("i-2", 0x0000000100000002, 20)
	for name, order := range map[string][]Change{
		"first seen first": {{Server: first}, {Server: second}},
		"first seen last":  {{Server: second}, {Server: first}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := NewBuilder()
			refused := b.Apply(order, 30, start)
			is.Equal(len(refused), 1)
			is.Equal(refused[0].Reason, ReasonCollision)
			d := b.Build()
			is.Equal(names(d.Candidates("p")), []string{"i-1"})
			is.Equal(d.ByCookie(3).Name, "i-1")

			b.Apply([]Change{{Deleted: "i-1"}}, 31, start)
			b.Expire(start.Add(DefaultRetention.Missing), start.Add(DefaultRetention.Missing))
			is.Equal(names(b.Build().Candidates("p")), []string{"i-2"})
		})
	}
}

// Guards against new flows to a draining server, and against open flows that
// lose it.
func TestDrainingServersKeepTheirFlows(t *testing.T) {
	is := is.New(t)
	b := NewBuilder()
	draining := testServer("i-1", 1, 1)
	draining.Draining = true
	d := build(t, b, start, Change{Server: draining}, Change{Server: testServer("i-2", 2, 2)})
	is.Equal(names(d.Candidates("p")), []string{"i-2"})
	is.Equal(d.ByCookie(1).Name, "i-1")

	d = build(t, b, start.Add(time.Second), Change{Deleted: "i-1"})
	is.Equal(d.ByCookie(1).Name, "i-1") // packets of open flows still find it
	is.True(d.ByCookie(1).Retired)
	d = build(t, b, start.Add(time.Second+DefaultRetention.Retired))
	is.True(d.ByCookie(1) == nil)
}

// Guards against an outage of the store that empties a pool: registrations that
// lapsed with it are back within 2 s. A server that is still missing then is
// gone.
func TestLapsedRegistrations(t *testing.T) {
	is := is.New(t)
	b := NewBuilder()
	build(t, b, start, Change{Server: testServer("i-1", 1, 1)}, Change{Server: testServer("i-2", 2, 2)})
	d := build(t, b, start.Add(time.Second), Change{Deleted: "i-1"}, Change{Deleted: "i-2"})
	is.Equal(names(d.Candidates("p")), []string{"i-1", "i-2"})

	d = build(t, b, start.Add(2*time.Second), Change{Server: testServer("i-2", 2, 9)})
	is.Equal(names(d.Candidates("p")), []string{"i-1", "i-2"}) // the first one back does not serve alone

	d = build(t, b, start.Add(time.Second+DefaultRetention.Missing), Change{Deleted: "i-2"})
	is.Equal(names(d.Candidates("p")), []string{"i-2"})
	d = build(t, b, start.Add(time.Second+2*DefaultRetention.Missing))
	is.Equal(len(d.Candidates("p")), 0)
	is.True(d.ByCookie(1) != nil)
}

// Guards against flows to a server that has crashed while most of its pool is
// registered.
func TestCrashedServerTakesNoFlows(t *testing.T) {
	is := is.New(t)
	b := NewBuilder()
	build(t, b, start, Change{Server: testServer("i-1", 1, 1)}, Change{Server: testServer("i-2", 2, 2)}, Change{Server: testServer("i-3", 3, 3)})
	d := build(t, b, start.Add(time.Second), Change{Deleted: "i-1"})
	is.Equal(names(d.Candidates("p")), []string{"i-2", "i-3"})
}

// Guards against a server that takes flows for longer because the news of its
// end came late: the time runs from when a daemon read it from the store.
func TestMissingSinceTheStoreWasRead(t *testing.T) {
	is := is.New(t)
	b := NewBuilder()
	build(t, b, start, Change{Server: testServer("i-1", 1, 1)})
	late := start.Add(2 * time.Second)
	d := build(t, b, late, Change{Deleted: "i-1", ReadAt: start})
	is.Equal(len(d.Candidates("p")), 1)
	d = build(t, b, start.Add(DefaultRetention.Missing))
	is.Equal(len(d.Candidates("p")), 0)
}

// Guards against an entry of another writer that keeps a server in use, or puts
// the others out of use.
func TestInvalidEntryNamesNoServer(t *testing.T) {
	is := is.New(t)
	b := NewBuilder()
	build(t, b, start, Change{Server: testServer("i-1", 1, 1)}, Change{Server: testServer("i-2", 2, 2)})
	refused := b.Apply([]Change{{Invalid: "i-1", Problem: errors.New("no address"), Revision: 5}}, 5, start)
	is.Equal(refused, []Refusal{{Revision: 5, Subject: "i-1", Reason: "no address"}})
	is.Equal(names(b.Build().Candidates("p")), []string{"i-2"})
}

// Guards against a configuration that reverts, and against one that is lost
// because a later value cannot be read.
func TestConfigurationNeverReverts(t *testing.T) {
	is := is.New(t)
	b := NewBuilder()
	route := Route{Name: "r", Address: netip.MustParseAddrPort("198.18.0.1:80"), Shares: []Share{{"p", 1}}}
	build(t, b, start, Change{Config: &Config{Version: 7, Routes: []Route{route}}})
	refused := b.Apply([]Change{{Config: &Config{Version: 6}}, {Problem: errors.New("not JSON")}}, 9, start)
	is.Equal(len(refused), 2)
	is.Equal(refused[0].Reason, ReasonOldVersion)
	d := b.Build()
	is.Equal(d.Config.Version, uint64(7))
	is.Equal(d.Route(route.Address).Name, "r")
	is.True(d.Route(netip.MustParseAddrPort("198.18.0.1:81")) == nil)
}

// Guards against a pool whose share differs from its weight.
func TestRoutePool(t *testing.T) {
	is := is.New(t)
	r := Route{Shares: []Share{{"a", 90}, {"b", 10}}}
	count := map[string]int{}
	for draw := range uint64(1000) {
		count[r.Pool(draw)]++
	}
	is.Equal(count, map[string]int{"a": 900, "b": 100})
}

// Guards against pools that are emptied by a store that goes away again right after
// it has shown that all registrations lapsed: whether they came back cannot be seen
// then (soak seeds 406 and 418).
func TestLapsedServersStayWhileTheStoreIsAway(t *testing.T) {
	is := is.New(t)
	b := NewBuilder()
	build(t, b, start, Change{Server: testServer("i-1", 1, 1)}, Change{Server: testServer("i-2", 2, 2)})
	build(t, b, start, Change{Deleted: "i-1"}, Change{Deleted: "i-2"})
	seen := start.Add(100 * time.Millisecond)
	b.Expire(start.Add(time.Minute), seen)
	is.Equal(names(b.Build().Candidates("p")), []string{"i-1", "i-2"})

	back := start.Add(time.Minute)
	b.Apply([]Change{{Server: testServer("i-2", 2, 9)}}, 9, back)
	is.Equal(names(b.Build().Candidates("p")), []string{"i-1", "i-2"})
	b.Expire(back, back)
	is.Equal(names(b.Build().Candidates("p")), []string{"i-2"})

	// The lapse is over: a server that vanishes later has crashed.
	b.Apply([]Change{{Server: testServer("i-3", 3, 10)}, {Server: testServer("i-4", 4, 11)}}, 11, back)
	b.Apply([]Change{{Deleted: "i-3"}}, 12, back)
	is.Equal(names(b.Build().Candidates("p")), []string{"i-2", "i-4"})
}
