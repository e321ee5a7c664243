package forward

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/carrier"
	"knapweedshore.example/internal/flow"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/owner"
	"knapweedshore.example/internal/packet"
	"knapweedshore.example/internal/selection"
	"knapweedshore.example/internal/tables"
)

const (
	syn = packet.FlagSYN
	ack = packet.FlagACK
	rst = packet.FlagRST
	fin = packet.FlagFIN
)

func slotOf(p tables.Protocol, caller netip.AddrPort) uint32 { return owner.Slot(p, caller) }

// open starts a TCP flow from the caller and returns the server's endpoint.
func (w *world) open(at *node, caller netip.AddrPort) netip.AddrPort {
	w.t.Helper()
	server := w.one(at, segment(caller, tcpService.AddrPort, syn, 0)).dst
	w.one(at, segment(server, caller, syn|ack, 0))
	return server
}

// Guards against a flow that reaches different servers, or an answer that
// leaves with the server's address, because the fabric sprays its packets.
func TestSprayedPacketsOfAFlowStayOnOneServer(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "a", "b", "c", "d")
	w.services()
	for i := range 50 {
		caller := callerAt(i)
		server := w.open(w.order[i%4], caller)
		for _, at := range w.order {
			is.Equal(w.one(at, segment(caller, tcpService.AddrPort, ack, 10)).dst, server)
			answer := w.one(at, segment(server, caller, ack, 10))
			is.Equal(answer.src, tcpService.AddrPort)
			is.Equal(answer.dst, caller)
		}
	}
}

// Guards against a planned change that cuts established flows: their server
// drains, is removed, or the route moves to another pool.
func TestEstablishedFlowSurvivesTableChanges(t *testing.T) {
	drained := backend(1)
	drained.State = tables.Draining
	changes := map[string]tables.Operation{
		"server drains":      tables.PutServer{Pool: "despacho", Server: drained},
		"server removed":     tables.DeleteServer{Pool: "despacho", Name: "s1"},
		"server reweighted":  tables.PutServer{Pool: "despacho", Server: reweighted(backend(1), 1)},
		"server added":       tables.PutServer{Pool: "despacho", Server: backend(9)},
		"route changes pool": tables.PutRoute{Name: "despacho", Address: tcpService, Pool: "mapas"},
		"route removed":      tables.DeleteRoute{Name: "despacho"},
	}
	for name, op := range changes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, "a", "b", "c")
			w.services()
			caller, server := w.flowOn("despacho", "s1")
			w.change(op)
			for _, at := range w.order {
				is.Equal(w.one(at, segment(caller, tcpService.AddrPort, ack, 5)).dst, server)
				is.Equal(w.one(at, segment(server, caller, ack, 5)).src, tcpService.AddrPort)
			}
		})
	}
}

func reweighted(s tables.Server, weight uint32) tables.Server {
	s.Weight = weight
	return s
}

// flowOn opens flows until one is on the named server.
func (w *world) flowOn(pool, name string) (caller, server netip.AddrPort) {
	w.t.Helper()
	p, _ := w.tables.Pool(pool)
	for i := range 500 {
		caller = callerAt(i)
		server = w.open(w.order[0], caller)
		for _, s := range p.Servers {
			if s.Name == name && s.Endpoint == server {
				return caller, server
			}
		}
	}
	w.t.Fatal("no flow on this server")
	return
}

// Guards against new flows on a server that drains.
func TestDrainingServerGetsNoNewFlow(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "a", "b")
	w.services()
	drained := backend(1)
	drained.State = tables.Draining
	w.change(tables.PutServer{Pool: "despacho", Server: drained})
	for i := range 200 {
		is.True(w.open(w.order[0], callerAt(i)) != drained.Endpoint)
	}
}

// Guards against flows cut by the crash of their owner: those on the default
// server, and those whose exception the backup knows, also when the server has
// left the tables since.
func TestOwnerCrashKeepsFlows(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "a", "b", "c")
	w.services()
	caller, server := w.flowOn("despacho", "s1")
	first := w.ownerOf(tables.TCP, caller)
	w.change(tables.DeleteServer{Pool: "despacho", Name: "s1"}) // makes it an exception
	_, ok := first.exception(flow.Fingerprint(caller, tcpService))
	is.True(ok)
	w.replicate()

	other := callerAt(0)
	for i := 0; w.ownerOf(tables.TCP, other) != first; i++ {
		other = callerAt(1000 + i)
	}
	onDefault := w.open(first, other)

	w.setState(first.name, member.Dead)
	for _, at := range w.order {
		if at == first {
			continue
		}
		is.Equal(w.one(at, segment(caller, tcpService.AddrPort, ack, 5)).dst, server)
		is.Equal(w.one(at, segment(other, tcpService.AddrPort, ack, 5)).dst, onDefault)
		is.Equal(w.one(at, segment(server, caller, ack, 5)).src, tcpService.AddrPort)
	}
}

// Guards against a flow cut while its slot moves between live members: the new
// owner does not know it yet and must ask its predecessor.
func TestJoinAndLeaveKeepFlows(t *testing.T) {
	for _, event := range []string{"join", "leave"} {
		t.Run(event, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(t, "a", "b")
			w.services()
			servers := make(map[netip.AddrPort]netip.AddrPort)
			for i := range 100 {
				servers[callerAt(i)] = w.open(w.order[0], callerAt(i))
			}
			// The default of most flows changes with the pool, so that only
			// the state of the old owner can tell their server.
			w.change(tables.PutPool{Name: "despacho", Servers: []tables.Server{backend(7), backend(8)}})
			if event == "join" {
				w.add("c")
				w.refreshNode(w.nodes["c"], false)
				w.refresh()
			} else {
				w.setState("a", member.Leaving)
			}
			for caller, server := range servers {
				for _, at := range w.order {
					is.Equal(w.one(at, segment(caller, tcpService.AddrPort, ack, 5)).dst, server)
				}
			}
		})
	}
}

// Guards against a packet that circulates among former holders until the hop
// limit after a slot has moved several times: its flow could not open for the
// whole predecessor period.
func TestFlowOpensAfterSeveralMoves(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "a", "b", "c", "d", "e")
	w.services()
	for _, leaving := range []member.Name{"a", "b", "c"} {
		w.now = w.now.Add(time.Second)
		w.setState(leaving, member.Leaving)
	}
	for i := range 200 {
		is.True(w.open(w.order[i%5], callerAt(i)).IsValid())
	}
	for _, n := range w.order {
		is.Equal(n.refused(metrics.HopLimit), int64(0))
	}
}

// Guards against a flow that cannot open because two daemons with different
// histories each take the other for an earlier holder.
func TestFlowOpensWhenHoldersNameEachOther(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "a", "b", "c")
	w.services()
	a, b, c := w.nodes["a"], w.nodes["b"], w.nodes["c"]
	name := func(n, holder *node) {
		v := *n.engine.view.Load()
		before := owner.NewSizedMap(testSlots, []owner.Candidate{{Name: "former"}})
		v.OwnershipChanges = []OwnershipChange{{At: w.now, Before: before, Holders: []netip.AddrPort{holder.data}}}
		n.engine.SetView(&v)
	}
	name(a, b)
	name(b, c)
	name(c, b)
	for _, at := range w.order {
		is.True(w.open(at, w.callerOf(a)).IsValid())
	}
	is.Equal(b.refused(metrics.HopLimit)+c.refused(metrics.HopLimit), int64(0))
}

// Guards against new flows that are lost or refused while their slot moves.
func TestNewFlowInMovedSlotOpensAtTheNewOwner(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "a", "b")
	w.services()
	w.setState("a", member.Leaving)
	for i := range 20 {
		server := w.open(w.order[0], callerAt(i))
		is.True(server.IsValid())
	}
	is.Equal(w.nodes["a"].flows(), 0)
	is.Equal(w.nodes["b"].flows(), 20)
}

// Guards against a RST from a server that never had the flow: after a crash
// without backup, the owner may have guessed the wrong server.
func TestResetOfUnconfirmedFlowIsDropped(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "a")
	w.services()
	n := w.order[0]
	caller := callerAt(1)
	guessed := w.one(n, segment(caller, tcpService.AddrPort, ack, 5)).dst
	w.none(n, segment(guessed, caller, rst, 0))
	is.Equal(n.refused(metrics.ResetUnconfirmed), int64(1))

	right := backend(1).Endpoint
	if right == guessed {
		right = backend(2).Endpoint
	}
	is.Equal(w.one(n, segment(right, caller, ack, 5)).src, tcpService.AddrPort) // the response corrects the guess
	is.Equal(w.one(n, segment(caller, tcpService.AddrPort, ack, 5)).dst, right)
}

// Guards against an unanswered SYN that stays on a dead server, and against a
// move after payload or a response, which could run a request twice.
func TestOnlyAnOpeningFlowWithoutPayloadMoves(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "a")
	w.services()
	n := w.order[0]
	caller := callerAt(1)
	first := w.one(n, segment(caller, tcpService.AddrPort, syn, 0)).dst
	w.now = w.now.Add(MoveDelay / 2)
	is.Equal(w.one(n, segment(caller, tcpService.AddrPort, syn, 0)).dst, first) // too early
	w.now = w.now.Add(MoveDelay)
	second := w.one(n, segment(caller, tcpService.AddrPort, syn, 0)).dst
	is.True(second != first)
	w.none(n, segment(first, caller, syn|ack, 0)) // a late answer of the first server goes nowhere
	w.one(n, segment(second, caller, syn|ack, 0))
	w.now = w.now.Add(10 * MoveDelay)
	is.Equal(w.one(n, segment(caller, tcpService.AddrPort, syn, 0)).dst, second) // answered: never again

	other := callerAt(2)
	fast := w.one(n, segment(other, tcpService.AddrPort, syn, 20)).dst
	w.now = w.now.Add(2 * MoveDelay)
	is.Equal(w.one(n, segment(other, tcpService.AddrPort, syn, 20)).dst, fast) // carried payload
}

// Guards against packets of one service that reach another one.
func TestPacketsReachOnlyTheirOwnService(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "a")
	w.services()
	n := w.order[0]
	caller := callerAt(1)
	w.open(n, caller)

	w.none(n, segment(caller, netip.MustParseAddrPort("203.0.113.99:443"), syn, 0))
	is.Equal(n.refused(metrics.NoRoute), int64(1))
	w.none(n, datagram(caller, tcpService.AddrPort)) // right address, wrong protocol
	is.Equal(n.refused(metrics.NoRoute), int64(2))
	w.none(n, segment(backend(4).Endpoint, caller, ack, 5)) // server of another service
	is.Equal(n.refused(metrics.AnswerUnknown), int64(1))

	w.change(tables.DeleteRoute{Name: "despacho"})
	w.none(n, segment(callerAt(2), tcpService.AddrPort, syn, 0))
	w.none(n, segment(callerAt(3), tcpService.AddrPort, ack, 5))
	is.Equal(n.refused(metrics.NoRoute), int64(4))
}

// Guards against two flows of one caller that a shared server cannot tell
// apart, so that answers cross.
func TestSharedServerNeverServesTwoFlowsOfOneCaller(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "a")
	w.services()
	second := tables.Address{AddrPort: netip.MustParseAddrPort("203.0.113.7:443"), Protocol: tables.TCP}
	third := tables.Address{AddrPort: netip.MustParseAddrPort("203.0.113.8:443"), Protocol: tables.TCP}
	w.change(
		tables.PutPool{Name: "despacho", Servers: []tables.Server{backend(1), backend(2)}},
		tables.PutRoute{Name: "second", Address: second, Pool: "despacho"},
		tables.PutRoute{Name: "third", Address: third, Pool: "despacho"},
	)
	n := w.order[0]
	caller := callerAt(1)
	s1 := w.one(n, segment(caller, tcpService.AddrPort, syn, 0)).dst
	s2 := w.one(n, segment(caller, second.AddrPort, syn, 0)).dst
	is.True(s1 != s2)
	is.Equal(w.one(n, segment(s2, caller, syn|ack, 0)).src, second.AddrPort)
	is.Equal(w.one(n, segment(caller, third.AddrPort, syn, 0)).flags&rst, rst) // both servers are taken
}

// Guards against a caller that waits in vain, or is told "not run" when a
// server may have run its request.
func TestRefusalOnlyForPacketsThatReachedNoServer(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "a", "b")
	w.services()
	w.change(
		tables.PutPool{Name: "despacho"},
		tables.PutPool{Name: "mapas"},
	)
	n := w.nodes["a"]
	caller := w.callerOf(n)
	refusal := w.one(n, segment(caller, tcpService.AddrPort, syn, 0))
	is.Equal(refusal.flags&rst, rst)
	is.Equal(refusal.dst, caller)
	is.True(w.one(n, datagram(caller, udpService.AddrPort)).icmp)
	is.Equal(n.refused(metrics.NoUsableServer), int64(2))
	established := w.one(n, segment(caller, tcpService.AddrPort, ack, 5))
	is.Equal(established.flags&rst, uint8(0)) // not an opening segment: an earlier server may have the flow

	w.setState("b", member.Dead)
	moved := w.callerOf(w.nodes["a"])
	for i := 0; !w.nodes["a"].engine.view.Load().settling(slotOf(tables.UDP, moved), w.now); i++ {
		moved = callerAt(i)
	}
	w.none(n, datagramOf(moved, udpService.AddrPort, 100, otherForm)) // may belong to an established flow
	is.True(w.one(n, datagramOf(moved, udpService.AddrPort, 100, longForm)).icmp)
}

// Guards against new QUIC flows that go to a server beyond its share because
// they might be established ones, and against other UDP flows that leave the
// default server while their slot settles.
func TestOnlyAmbiguousDatagramsStayOnTheDefaultServer(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "a", "b")
	w.policy = func() selection.Policy { return deviating{selection.NewRendezvous()} }
	c := w.add("c")
	w.refreshNode(c, false)
	w.refresh()
	w.services()
	pool, _ := w.tables.Pool("mapas")
	off := map[byte]int{}
	for i := range 3000 {
		caller := callerAt(i)
		if w.ownerOf(tables.UDP, caller) != c {
			continue
		}
		first := byte(longForm)
		if i%2 == 0 {
			first = otherForm
		}
		normal, _ := selection.Default(flow.Fingerprint(caller, udpService), pool)
		if w.one(c, datagramOf(caller, udpService.AddrPort, 100, first)).dst != normal.Endpoint {
			off[first]++
		}
	}
	is.Equal(off[otherForm], 0)
	is.True(off[longForm] > 100) // the policy puts every second flow elsewhere
}

// Guards against a daemon that decides after a pause in which others have taken
// its slots.
func TestWithoutStandingPacketsArePassedOn(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "a", "b")
	w.services()
	a := w.nodes["a"]
	caller := w.callerOf(a)
	w.refreshNode(a, false)
	got := w.send(a, segment(caller, tcpService.AddrPort, syn, 0))
	is.Equal(a.flows(), 0)
	for _, d := range got {
		is.Equal(d.by, member.Name("b"))
	}
	alone := newWorld(t, "a")
	alone.services()
	alone.refreshNode(alone.order[0], false)
	alone.none(alone.order[0], segment(caller, tcpService.AddrPort, syn, 0))
	is.Equal(alone.order[0].refused(metrics.NoOwner), int64(1))
}

// Guards against packets that circulate between members with different views,
// and against packets from strangers.
func TestHopsAndSendersAreChecked(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "a", "b")
	w.services()
	a, b := w.nodes["a"], w.nodes["b"]
	caller := w.callerOf(b)
	far := &carrier.Incoming{
		Inner: segment(caller, tcpService.AddrPort, syn, 0), From: b.data,
		Hop: carrier.Hop{Kind: carrier.HopOwner, Count: MaxHops},
	}
	is.Equal(len(w.handle(a, far)), 0)
	is.Equal(a.refused(metrics.HopLimit), int64(1))

	stranger := netip.MustParseAddrPort("192.0.2.66:6081")
	for _, hop := range []carrier.HopKind{carrier.HopNone, carrier.HopOwner, carrier.HopPredecessor, carrier.HopUnknown} {
		in := &carrier.Incoming{Inner: segment(caller, tcpService.AddrPort, syn, 0), From: stranger, Hop: carrier.Hop{Kind: hop}}
		is.Equal(len(w.handle(a, in)), 0)
	}
	is.Equal(a.refused(metrics.UnknownSource), int64(4))
}

// Guards against a forged answer of a predecessor that binds a flow to the
// server of another service, or to one of another IP version, which would stop
// the daemon.
func TestUnaskedAnswerOfAPredecessorIsIgnored(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "a", "b")
	w.services()
	six := tables.Server{Name: "six", Endpoint: netip.MustParseAddrPort("[2001:db8::6]:443"), Zone: "zone-0"}.WithDefaults()
	w.change(tables.PutPool{Name: "six", Servers: []tables.Server{six}})
	a := w.nodes["a"]
	forge := func(server string) []delivered {
		s, _ := w.tables.ServerByEndpoint(netip.MustParseAddrPort(server))
		return w.handle(a, &carrier.Incoming{
			Inner: segment(w.callerOf(a), tcpService.AddrPort, syn, 0), From: w.nodes["b"].data,
			Hop: carrier.Hop{Kind: carrier.HopKnown, Count: 3, Server: uint32(s.Server.ID)},
		})
	}
	other := backend(4).Endpoint.String()
	for _, server := range []string{other, six.Endpoint.String()} {
		for _, d := range forge(server) {
			is.True(d.dst.String() != server)
		}
	}
	w.add("c")
	w.refreshNode(w.nodes["c"], false)
	w.refresh()
	a = w.nodes["c"] // it asks predecessors now
	is.Equal(len(forge(six.Endpoint.String())), 1)
}

// Guards against UDP flows that ended unseen and still fill the connection
// limits of the servers: in a run of 150 s a third of the flows was refused.
func TestIdleUDPFlowsDoNotFillTheConnectionLimit(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "a")
	w.services()
	small := backend(4)
	small.Connections = 10
	w.change(tables.PutPool{Name: "mapas", Servers: []tables.Server{small}})
	n := w.order[0]
	for i := range 10 {
		is.Equal(w.one(n, datagram(callerAt(i), udpService.AddrPort)).dst, small.Endpoint)
	}
	is.True(w.one(n, datagram(callerAt(10), udpService.AddrPort)).icmp) // the limit is reached
	w.now = w.now.Add(udpConnectionIdle + time.Second)
	is.Equal(w.one(n, datagram(callerAt(0), udpService.AddrPort)).dst, small.Endpoint) // one goes on
	n.engine.PauseIdle(w.now)
	for i := range 9 {
		is.Equal(w.one(n, datagram(callerAt(20+i), udpService.AddrPort)).dst, small.Endpoint)
	}
	is.True(w.one(n, datagram(callerAt(40), udpService.AddrPort)).icmp)
}

// Guards against busy time that is taken back twice: learned corrections then
// follow noise, and the imbalance rose to 1.8.
func TestEndOfAPausedFlowLeavesTheBusyTime(t *testing.T) {
	is := is.New(t)
	chooser := selection.NewChooser(testStart, nil)
	w := &world{t: t, now: testStart, nodes: make(map[member.Name]*node), tables: tables.Empty()}
	w.policy = func() selection.Policy { return chooser }
	n := w.add("a")
	w.refresh()
	w.services()
	for i := range 100 {
		server := w.one(n, datagram(callerAt(i), udpService.AddrPort)).dst
		w.now = w.now.Add(100 * time.Millisecond)
		w.one(n, datagram(server, callerAt(i)))
		n.engine.PauseIdle(w.now)
	}
	for range 20 {
		w.now = w.now.Add(500 * time.Millisecond)
		n.engine.PauseIdle(w.now)
		n.engine.Age(w.now, 10_000)
	}
	for _, s := range chooser.Servers(w.now) {
		is.True(s.Utilisation >= 0)
	}
}

// Guards against a silent flow that keeps its caller waiting for good, and
// against a long quiet flow that is cut although its server is there.
func TestSilentFlowIsResetOnlyWhenItsServerIsGone(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "a")
	w.services()
	n := w.order[0]
	quiet, _ := w.flowOn("despacho", "s2")
	caller, server := w.flowOn("despacho", "s1")
	sendInVain := func() {
		for range 15 {
			w.now = w.now.Add(10 * time.Second)
			is.Equal(w.one(n, segment(caller, tcpService.AddrPort, ack, 5)).dst, server)
			n.engine.Age(w.now, 10_000)
		}
	}
	sendInVain()
	is.Equal(n.metrics.Totals().Value(metrics.SilentFlows), int64(1)) // counted, not cut
	w.one(n, segment(server, caller, ack, 5))
	w.change(tables.DeleteServer{Pool: "despacho", Name: "s1"})
	sendInVain2 := segment(caller, tcpService.AddrPort, ack, 5)
	for range 8 {
		w.now = w.now.Add(10 * time.Second)
		n.engine.Age(w.now, 10_000)
		if w.one(n, append([]byte(nil), sendInVain2...)).flags&rst != 0 {
			is.Equal(w.one(n, segment(quiet, tcpService.AddrPort, ack, 5)).flags&rst, uint8(0))
			return
		}
	}
	t.Fatal("the caller of a silent flow without server got no RST")
}

// Guards against a port that a caller uses again and that leads to a server
// which drains.
func TestClosedFlowMakesRoomForANewOne(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, "a")
	w.services()
	n := w.order[0]
	caller, server := w.flowOn("despacho", "s1")
	w.one(n, segment(caller, tcpService.AddrPort, fin|ack, 0))
	w.one(n, segment(server, caller, fin|ack, 0))
	w.one(n, segment(caller, tcpService.AddrPort, ack, 0))
	drained := backend(1)
	drained.State = tables.Draining
	w.change(tables.PutServer{Pool: "despacho", Server: drained})
	is.True(w.one(n, segment(caller, tcpService.AddrPort, syn, 0)).dst != server)
}
