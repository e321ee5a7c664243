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

// openFlow opens a TCP flow from the caller and returns the server's endpoint.
func (tc *testCluster) openFlow(at *node, caller netip.AddrPort) netip.AddrPort {
	tc.t.Helper()
	server := tc.sendOne(at, segment(caller, tcpService.AddrPort, syn, 0)).dst
	tc.sendOne(at, segment(server, caller, syn|ack, 0))
	return server
}

// Guards against a flow that reaches several servers, or a response with the
// server's source address, when the fabric sprays its packets over all VMs.
func TestSprayedPacketsOfAFlowStayOnOneServer(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, "a", "b", "c", "d")
	tc.addServices()
	for i := range 50 {
		caller := callerAt(i)
		server := tc.openFlow(tc.order[i%4], caller)
		for _, at := range tc.order {
			is.Equal(tc.sendOne(at, segment(caller, tcpService.AddrPort, ack, 10)).dst, server)
			response := tc.sendOne(at, segment(server, caller, ack, 10))
			is.Equal(response.src, tcpService.AddrPort)
			is.Equal(response.dst, caller)
		}
	}
}

// Guards against a planned change of the tables that breaks established flows,
// such as a server that drains or a route that moves to another pool.
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
			tc := newTestCluster(t, "a", "b", "c")
			tc.addServices()
			caller, server := tc.openFlowOn("despacho", "s1")
			tc.applyOperations(op)
			for _, at := range tc.order {
				is.Equal(tc.sendOne(at, segment(caller, tcpService.AddrPort, ack, 5)).dst, server)
				is.Equal(tc.sendOne(at, segment(server, caller, ack, 5)).src, tcpService.AddrPort)
			}
		})
	}
}

func reweighted(s tables.Server, weight uint32) tables.Server {
	s.Weight = weight
	return s
}

// openFlowOn opens flows until one is on the named server.
func (tc *testCluster) openFlowOn(pool, name string) (caller, server netip.AddrPort) {
	tc.t.Helper()
	p, _ := tc.tables.Pool(pool)
	for i := range 500 {
		caller = callerAt(i)
		server = tc.openFlow(tc.order[0], caller)
		for _, s := range p.Servers {
			if s.Name == name && s.Endpoint == server {
				return caller, server
			}
		}
	}
	tc.t.Fatal("no flow was opened on this server")
	return
}

// Guards against new flows on a draining server.
func TestDrainingServerGetsNoNewFlow(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, "a", "b")
	tc.addServices()
	drained := backend(1)
	drained.State = tables.Draining
	tc.applyOperations(tables.PutServer{Pool: "despacho", Server: drained})
	for i := range 200 {
		is.True(tc.openFlow(tc.order[0], callerAt(i)) != drained.Endpoint)
	}
}

// Guards against flows that break when their owner crashes: those on their
// default server, and those whose exception the backup knows, even if their
// server has been removed from the tables since.
func TestOwnerCrashKeepsFlows(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, "a", "b", "c")
	tc.addServices()
	caller, server := tc.openFlowOn("despacho", "s1")
	first := tc.ownerOf(tables.TCP, caller)
	tc.applyOperations(tables.DeleteServer{Pool: "despacho", Name: "s1"}) // the flow becomes an exception
	_, ok := first.exception(flow.Fingerprint(caller, tcpService))
	is.True(ok)
	tc.replicate()

	other := callerAt(0)
	for i := 0; tc.ownerOf(tables.TCP, other) != first; i++ {
		other = callerAt(1000 + i)
	}
	onDefault := tc.openFlow(first, other)

	tc.setState(first.name, member.Dead)
	for _, at := range tc.order {
		if at == first {
			continue
		}
		is.Equal(tc.sendOne(at, segment(caller, tcpService.AddrPort, ack, 5)).dst, server)
		is.Equal(tc.sendOne(at, segment(other, tcpService.AddrPort, ack, 5)).dst, onDefault)
		is.Equal(tc.sendOne(at, segment(server, caller, ack, 5)).src, tcpService.AddrPort)
	}
}

// Guards against a flow that breaks while its slot moves between live members:
// the new owner does not know it yet and must ask its predecessor.
func TestJoinAndLeaveKeepFlows(t *testing.T) {
	for _, event := range []string{"join", "leave"} {
		t.Run(event, func(t *testing.T) {
			is := is.New(t)
			tc := newTestCluster(t, "a", "b")
			tc.addServices()
			servers := make(map[netip.AddrPort]netip.AddrPort)
			for i := range 100 {
				servers[callerAt(i)] = tc.openFlow(tc.order[0], callerAt(i))
			}
			// The new pool changes the default server of most flows, so that
			// only the old owner knows their server.
			tc.applyOperations(tables.PutPool{Name: "despacho", Servers: []tables.Server{backend(7), backend(8)}})
			if event == "join" {
				tc.addNode("c")
				tc.refreshNode(tc.nodes["c"], false)
				tc.refresh()
			} else {
				tc.setState("a", member.Leaving)
			}
			for caller, server := range servers {
				for _, at := range tc.order {
					is.Equal(tc.sendOne(at, segment(caller, tcpService.AddrPort, ack, 5)).dst, server)
				}
			}
		})
	}
}

// Guards against a packet that circulates among former holders up to the hop
// limit after its slot has moved several times, so that its flow cannot open
// during PredecessorPeriod.
func TestFlowOpensAfterSeveralMoves(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, "a", "b", "c", "d", "e")
	tc.addServices()
	for _, leaving := range []member.Name{"a", "b", "c"} {
		tc.now = tc.now.Add(time.Second)
		tc.setState(leaving, member.Leaving)
	}
	for i := range 200 {
		is.True(tc.openFlow(tc.order[i%5], callerAt(i)).IsValid())
	}
	for _, n := range tc.order {
		is.Equal(n.refused(metrics.HopLimit), int64(0))
	}
}

// Guards against a flow that cannot open because two daemons with differing
// views each regard the other as the earlier holder.
func TestFlowOpensWhenHoldersNameEachOther(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, "a", "b", "c")
	tc.addServices()
	a, b, c := tc.nodes["a"], tc.nodes["b"], tc.nodes["c"]
	setFormerHolder := func(n, holder *node) {
		v := *n.engine.view.Load()
		before := owner.NewSizedMap(testSlots, []owner.Candidate{{Name: "former"}})
		v.OwnershipChanges = []OwnershipChange{{At: tc.now, Before: before, Holders: []netip.AddrPort{holder.data}}}
		n.engine.SetView(&v)
	}
	setFormerHolder(a, b)
	setFormerHolder(b, c)
	setFormerHolder(c, b)
	for _, at := range tc.order {
		is.True(tc.openFlow(at, tc.callerOf(a)).IsValid())
	}
	is.Equal(b.refused(metrics.HopLimit)+c.refused(metrics.HopLimit), int64(0))
}

// Guards against new flows that are lost or refused while their slot moves.
func TestNewFlowInMovedSlotOpensAtTheNewOwner(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, "a", "b")
	tc.addServices()
	tc.setState("a", member.Leaving)
	for i := range 20 {
		server := tc.openFlow(tc.order[0], callerAt(i))
		is.True(server.IsValid())
	}
	is.Equal(tc.nodes["a"].flows(), 0)
	is.Equal(tc.nodes["b"].flows(), 20)
}

// Guards against a RST, from a server that never had the flow, that reaches the
// caller: after a crash without backup, the owner may assume the wrong server.
func TestResetOfUnconfirmedFlowIsDropped(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, "a")
	tc.addServices()
	n := tc.order[0]
	caller := callerAt(1)
	assumed := tc.sendOne(n, segment(caller, tcpService.AddrPort, ack, 5)).dst
	tc.sendNone(n, segment(assumed, caller, rst, 0))
	is.Equal(n.refused(metrics.ResetUnconfirmed), int64(1))

	right := backend(1).Endpoint
	if right == assumed {
		right = backend(2).Endpoint
	}
	is.Equal(tc.sendOne(n, segment(right, caller, ack, 5)).src, tcpService.AddrPort) // the response shows the right server
	is.Equal(tc.sendOne(n, segment(caller, tcpService.AddrPort, ack, 5)).dst, right)
}

// Guards against an opening flow that stays on a dead server, and against a
// flow that moves after payload or a response, so that a request could be
// executed twice.
func TestOnlyAnOpeningFlowWithoutPayloadMoves(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, "a")
	tc.addServices()
	n := tc.order[0]
	caller := callerAt(1)
	first := tc.sendOne(n, segment(caller, tcpService.AddrPort, syn, 0)).dst
	tc.now = tc.now.Add(MoveDelay / 2)
	is.Equal(tc.sendOne(n, segment(caller, tcpService.AddrPort, syn, 0)).dst, first) // too early
	tc.now = tc.now.Add(MoveDelay)
	second := tc.sendOne(n, segment(caller, tcpService.AddrPort, syn, 0)).dst
	is.True(second != first)
	tc.sendNone(n, segment(first, caller, syn|ack, 0)) // a late response of the first server is dropped
	tc.sendOne(n, segment(second, caller, syn|ack, 0))
	tc.now = tc.now.Add(10 * MoveDelay)
	is.Equal(tc.sendOne(n, segment(caller, tcpService.AddrPort, syn, 0)).dst, second) // answered: stays

	other := callerAt(2)
	fast := tc.sendOne(n, segment(other, tcpService.AddrPort, syn, 20)).dst
	tc.now = tc.now.Add(2 * MoveDelay)
	is.Equal(tc.sendOne(n, segment(other, tcpService.AddrPort, syn, 20)).dst, fast) // has sent payload: stays
}

// Guards against packets of one service that reach another service.
func TestPacketsReachOnlyTheirOwnService(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, "a")
	tc.addServices()
	n := tc.order[0]
	caller := callerAt(1)
	tc.openFlow(n, caller)

	tc.sendNone(n, segment(caller, netip.MustParseAddrPort("203.0.113.99:443"), syn, 0))
	is.Equal(n.refused(metrics.NoRoute), int64(1))
	tc.sendNone(n, datagram(caller, tcpService.AddrPort)) // right address, wrong protocol
	is.Equal(n.refused(metrics.NoRoute), int64(2))
	tc.sendNone(n, segment(backend(4).Endpoint, caller, ack, 5)) // server of another service
	is.Equal(n.refused(metrics.AnswerUnknown), int64(1))

	tc.applyOperations(tables.DeleteRoute{Name: "despacho"})
	tc.sendNone(n, segment(callerAt(2), tcpService.AddrPort, syn, 0))
	tc.sendNone(n, segment(callerAt(3), tcpService.AddrPort, ack, 5))
	is.Equal(n.refused(metrics.NoRoute), int64(4))
}

// Guards against two flows of one caller to a server that two services share:
// their responses could not be told apart.
func TestSharedServerNeverServesTwoFlowsOfOneCaller(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, "a")
	tc.addServices()
	second := tables.Address{AddrPort: netip.MustParseAddrPort("203.0.113.7:443"), Protocol: tables.TCP}
	third := tables.Address{AddrPort: netip.MustParseAddrPort("203.0.113.8:443"), Protocol: tables.TCP}
	tc.applyOperations(
		tables.PutPool{Name: "despacho", Servers: []tables.Server{backend(1), backend(2)}},
		tables.PutRoute{Name: "second", Address: second, Pool: "despacho"},
		tables.PutRoute{Name: "third", Address: third, Pool: "despacho"},
	)
	n := tc.order[0]
	caller := callerAt(1)
	s1 := tc.sendOne(n, segment(caller, tcpService.AddrPort, syn, 0)).dst
	s2 := tc.sendOne(n, segment(caller, second.AddrPort, syn, 0)).dst
	is.True(s1 != s2)
	is.Equal(tc.sendOne(n, segment(s2, caller, syn|ack, 0)).src, second.AddrPort)
	is.Equal(tc.sendOne(n, segment(caller, third.AddrPort, syn, 0)).flags&rst, rst) // the caller has a flow to both servers
}

// Guards against a caller that is not told that its flow was refused, or is
// told so although a server may have executed its request.
func TestRefusalOnlyForPacketsThatReachedNoServer(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, "a", "b")
	tc.addServices()
	tc.applyOperations(
		tables.PutPool{Name: "despacho"},
		tables.PutPool{Name: "mapas"},
	)
	n := tc.nodes["a"]
	caller := tc.callerOf(n)
	refusal := tc.sendOne(n, segment(caller, tcpService.AddrPort, syn, 0))
	is.Equal(refusal.flags&rst, rst)
	is.Equal(refusal.dst, caller)
	is.True(tc.sendOne(n, datagram(caller, udpService.AddrPort)).icmp)
	is.Equal(n.refused(metrics.NoUsableServer), int64(2))
	established := tc.sendOne(n, segment(caller, tcpService.AddrPort, ack, 5))
	is.Equal(established.flags&rst, uint8(0)) // not an opening segment: an earlier server may have the flow

	tc.setState("b", member.Dead)
	moved := tc.callerOf(tc.nodes["a"])
	for i := 0; !tc.nodes["a"].engine.view.Load().settling(slotOf(tables.UDP, moved), tc.now); i++ {
		moved = callerAt(i)
	}
	tc.sendNone(n, datagramOf(moved, udpService.AddrPort, 100, nonQUICByte)) // may belong to an established flow
	is.True(tc.sendOne(n, datagramOf(moved, udpService.AddrPort, 100, longHeaderByte)).icmp)
}

// Guards against an uneven load because new QUIC flows use their default server
// although they cannot be established ones, and against other UDP flows that
// are put on another server while their slot is settling.
func TestOnlyAmbiguousDatagramsStayOnTheDefaultServer(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, "a", "b")
	tc.policy = func() selection.Policy { return deviatingPolicy{selection.NewRendezvous()} }
	c := tc.addNode("c")
	tc.refreshNode(c, false)
	tc.refresh()
	tc.addServices()
	pool, _ := tc.tables.Pool("mapas")
	deviated := map[byte]int{}
	for i := range 3000 {
		caller := callerAt(i)
		if tc.ownerOf(tables.UDP, caller) != c {
			continue
		}
		first := byte(longHeaderByte)
		if i%2 == 0 {
			first = nonQUICByte
		}
		defaultServer, _ := selection.Default(flow.Fingerprint(caller, udpService), pool)
		if tc.sendOne(c, datagramOf(caller, udpService.AddrPort, 100, first)).dst != defaultServer.Endpoint {
			deviated[first]++
		}
	}
	is.Equal(deviated[nonQUICByte], 0)
	is.True(deviated[longHeaderByte] > 100) // the policy puts every second flow on another server
}

// Guards against a daemon that still opens flows after a pause during which
// others have taken over its slots.
func TestIneligibleDaemonForwardsPackets(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, "a", "b")
	tc.addServices()
	a := tc.nodes["a"]
	caller := tc.callerOf(a)
	tc.refreshNode(a, false)
	got := tc.send(a, segment(caller, tcpService.AddrPort, syn, 0))
	is.Equal(a.flows(), 0)
	for _, d := range got {
		is.Equal(d.by, member.Name("b"))
	}
	alone := newTestCluster(t, "a")
	alone.addServices()
	alone.refreshNode(alone.order[0], false)
	alone.sendNone(alone.order[0], segment(caller, tcpService.AddrPort, syn, 0))
	is.Equal(alone.order[0].refused(metrics.NoOwner), int64(1))
}

// Guards against packets that circulate between members with differing views,
// and against packets from unknown senders.
func TestHopsAndSendersAreChecked(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, "a", "b")
	tc.addServices()
	a, b := tc.nodes["a"], tc.nodes["b"]
	caller := tc.callerOf(b)
	atLimit := &carrier.Incoming{
		Inner: segment(caller, tcpService.AddrPort, syn, 0), From: b.data,
		Hop: carrier.Hop{Kind: carrier.HopOwner, Count: MaxHops},
	}
	is.Equal(len(tc.handle(a, atLimit)), 0)
	is.Equal(a.refused(metrics.HopLimit), int64(1))

	unknownSender := netip.MustParseAddrPort("192.0.2.66:6081")
	for _, hop := range []carrier.HopKind{carrier.HopNone, carrier.HopOwner, carrier.HopPredecessor, carrier.HopUnknown} {
		in := &carrier.Incoming{Inner: segment(caller, tcpService.AddrPort, syn, 0), From: unknownSender, Hop: carrier.Hop{Kind: hop}}
		is.Equal(len(tc.handle(a, in)), 0)
	}
	is.Equal(a.refused(metrics.UnknownSource), int64(4))
}

// Guards against a forged answer of a predecessor that puts a flow on a server
// of another service, or on one with another IP version, which would crash the
// daemon.
func TestUnaskedAnswerOfAPredecessorIsIgnored(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, "a", "b")
	tc.addServices()
	ipv6 := tables.Server{Name: "six", Endpoint: netip.MustParseAddrPort("[2001:db8::6]:443"), Zone: "zone-0"}.WithDefaults()
	tc.applyOperations(tables.PutPool{Name: "six", Servers: []tables.Server{ipv6}})
	a := tc.nodes["a"]
	forge := func(server string) []delivered {
		s, _ := tc.tables.ServerByEndpoint(netip.MustParseAddrPort(server))
		return tc.handle(a, &carrier.Incoming{
			Inner: segment(tc.callerOf(a), tcpService.AddrPort, syn, 0), From: tc.nodes["b"].data,
			Hop: carrier.Hop{Kind: carrier.HopKnown, Count: 3, Server: uint32(s.Server.ID)},
		})
	}
	other := backend(4).Endpoint.String()
	for _, server := range []string{other, ipv6.Endpoint.String()} {
		for _, d := range forge(server) {
			is.True(d.dst.String() != server)
		}
	}
	tc.addNode("c")
	tc.refreshNode(tc.nodes["c"], false)
	tc.refresh()
	a = tc.nodes["c"] // has just joined, so it asks predecessors
	is.Equal(len(forge(ipv6.Endpoint.String())), 1)
}

// Guards against UDP flows whose end the balancer cannot see and that use up
// the connection limits of the servers. In a run of 150 s, this refused a third
// of the flows.
func TestIdleUDPFlowsDoNotFillTheConnectionLimit(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, "a")
	tc.addServices()
	small := backend(4)
	small.Connections = 10
	tc.applyOperations(tables.PutPool{Name: "mapas", Servers: []tables.Server{small}})
	n := tc.order[0]
	for i := range 10 {
		is.Equal(tc.sendOne(n, datagram(callerAt(i), udpService.AddrPort)).dst, small.Endpoint)
	}
	is.True(tc.sendOne(n, datagram(callerAt(10), udpService.AddrPort)).icmp) // the limit is reached
	tc.now = tc.now.Add(udpConnectionTimeout + time.Second)
	is.Equal(tc.sendOne(n, datagram(callerAt(0), udpService.AddrPort)).dst, small.Endpoint) // one flow continues
	n.engine.PauseIdle(tc.now)
	for i := range 9 {
		is.Equal(tc.sendOne(n, datagram(callerAt(20+i), udpService.AddrPort)).dst, small.Endpoint)
	}
	is.True(tc.sendOne(n, datagram(callerAt(40), udpService.AddrPort)).icmp)
}

// Guards against busy time that is subtracted twice when a paused flow ends.
// The learned corrections then followed noise, and the imbalance rose to 1.8.
func TestEndOfAPausedFlowKeepsTheBusyTime(t *testing.T) {
	is := is.New(t)
	chooser := selection.NewChooser(testStart, nil)
	tc := &testCluster{t: t, now: testStart, nodes: make(map[member.Name]*node), tables: tables.Empty()}
	tc.policy = func() selection.Policy { return chooser }
	n := tc.addNode("a")
	tc.refresh()
	tc.addServices()
	for i := range 100 {
		server := tc.sendOne(n, datagram(callerAt(i), udpService.AddrPort)).dst
		tc.now = tc.now.Add(100 * time.Millisecond)
		tc.sendOne(n, datagram(server, callerAt(i)))
		n.engine.PauseIdle(tc.now)
	}
	for range 20 {
		tc.now = tc.now.Add(500 * time.Millisecond)
		n.engine.PauseIdle(tc.now)
		n.engine.Age(tc.now, 10_000)
	}
	for _, s := range chooser.Servers(tc.now) {
		is.True(s.Utilisation >= 0)
	}
}

// Guards against a silent flow whose caller is never told that its server is
// gone, and against the reset of an idle or silent flow whose server is still
// there.
func TestSilentFlowIsResetOnlyWhenItsServerIsGone(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, "a")
	tc.addServices()
	n := tc.order[0]
	idle, _ := tc.openFlowOn("despacho", "s2")
	caller, server := tc.openFlowOn("despacho", "s1")
	sendUnanswered := func() {
		for range 15 {
			tc.now = tc.now.Add(10 * time.Second)
			is.Equal(tc.sendOne(n, segment(caller, tcpService.AddrPort, ack, 5)).dst, server)
			n.engine.Age(tc.now, 10_000)
		}
	}
	sendUnanswered()
	is.Equal(n.metrics.Totals().Value(metrics.SilentFlows), int64(1)) // counted, not reset
	tc.sendOne(n, segment(server, caller, ack, 5))
	tc.applyOperations(tables.DeleteServer{Pool: "despacho", Name: "s1"})
	request := segment(caller, tcpService.AddrPort, ack, 5)
	for range 8 {
		tc.now = tc.now.Add(10 * time.Second)
		n.engine.Age(tc.now, 10_000)
		if tc.sendOne(n, append([]byte(nil), request...)).flags&rst != 0 {
			is.Equal(tc.sendOne(n, segment(idle, tcpService.AddrPort, ack, 5)).flags&rst, uint8(0))
			return
		}
	}
	t.Fatal("the caller of a silent flow got no RST after its server was removed")
}

// Guards against a new flow from a reused port that goes to the server of the
// closed flow although that server is draining.
func TestClosedFlowMakesRoomForANewOne(t *testing.T) {
	is := is.New(t)
	tc := newTestCluster(t, "a")
	tc.addServices()
	n := tc.order[0]
	caller, server := tc.openFlowOn("despacho", "s1")
	tc.sendOne(n, segment(caller, tcpService.AddrPort, fin|ack, 0))
	tc.sendOne(n, segment(server, caller, fin|ack, 0))
	tc.sendOne(n, segment(caller, tcpService.AddrPort, ack, 0))
	drained := backend(1)
	drained.State = tables.Draining
	tc.applyOperations(tables.PutServer{Pool: "despacho", Server: drained})
	is.True(tc.sendOne(n, segment(caller, tcpService.AddrPort, syn, 0)).dst != server)
}
