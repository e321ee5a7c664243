package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/directory"
)

func twoServers() []*directory.Server {
	return []*directory.Server{
		{Name: "near", Cookie: 1, Zone: "a", Slots: 2},
		{Name: "far", Cookie: 2, Zone: "b", Slots: 2},
	}
}

// choose returns the name of the chosen server, "" if there is none, and the
// flow's ticket.
func choose(p *Placer, servers []*directory.Server, avoid directory.Cookie, now time.Time) (string, *Ticket) {
	s, ticket := p.Choose(Request{Route: &directory.Route{Name: "r"}, Candidates: servers, Avoid: avoid, Now: now})
	if s == nil {
		return "", nil
	}
	return s.Name, ticket
}

// Guards against needless traffic between zones, and against a queue in the
// daemon's own zone while servers in other zones are free.
func TestOwnZoneFirstUntilItIsBusy(t *testing.T) {
	is := is.New(t)
	p, servers := New("a", 1), twoServers()
	for range 2 {
		name, _ := choose(p, servers, 0, epoch)
		is.Equal(name, "near")
	}
	name, _ := choose(p, servers, 0, epoch)
	is.Equal(name, "far")
}

// Guards against ignoring the requests in progress that peers have placed, and
// against counting them after the peer has stopped sending reports.
func TestReportsOfPeersCount(t *testing.T) {
	is := is.New(t)
	p, servers := New("a", 1), twoServers()
	p.SetPeerLoad("peer", Load{InProgress: map[directory.Cookie]int{1: 3}}, epoch)
	name, ticket := choose(p, servers, 0, epoch)
	is.Equal(name, "far")
	p.Abandon(ticket)
	p.SetPeerLoad("peer", Load{}, epoch)
	name, ticket = choose(p, servers, 0, epoch)
	is.Equal(name, "near")
	p.Abandon(ticket)

	p.SetPeerLoad("peer", Load{InProgress: map[directory.Cookie]int{1: 3}}, epoch)
	p.ExpirePeers(epoch.Add(peerLoadTTL + time.Millisecond))
	name, _ = choose(p, servers, 0, epoch)
	is.Equal(name, "near")
}

// Guards against a retransmitted opening packet that goes to the same silent
// server again although there is another one.
func TestRetransmissionAvoidsTheServerThatDidNotAnswer(t *testing.T) {
	is := is.New(t)
	p, servers := New("a", 1), twoServers()
	name, _ := choose(p, servers, 1, epoch)
	is.Equal(name, "far")
	name, _ = choose(p, servers[:1], 1, epoch)
	is.Equal(name, "near") // there is no other server
}

// Guards against a server that is still avoided after it answers again, and
// against frequent trials while it does not answer.
func TestSuspicionDoublesAndEnds(t *testing.T) {
	is := is.New(t)
	p, servers := New("a", 1), twoServers()
	var changes []AvoidanceChange
	p.OnAvoidanceChange(func(c AvoidanceChange) { changes = append(changes, c) })
	now := epoch
	choose(p, servers, 0, now)
	now = now.Add(AcceptTimeout)
	name, _ := choose(p, servers, 0, now)
	is.Equal(name, "far")
	is.Equal(changes, []AvoidanceChange{{Server: 1, Avoided: true, MinDuration: initialSuspicion}})

	now = now.Add(initialSuspicion)
	servers = servers[:1]
	_, trial := choose(p, servers, 0, now)
	now = now.Add(AcceptTimeout)
	choose(p, servers, 0, now)
	is.Equal(changes[1].MinDuration, 2*initialSuspicion)

	p.MarkAnswered(trial, now)
	is.Equal(changes[2], AvoidanceChange{Server: 1})
	name, _ = choose(p, twoServers(), 0, now)
	is.True(name != "")
}

// Guards against flows into an unreachable zone while there are other servers, and
// against refusing flows when all servers are in such a zone.
func TestUnreachableZoneIsTheLastChoice(t *testing.T) {
	is := is.New(t)
	p, servers := New("a", 1), twoServers()
	p.SetUnreachableFunc(func(zone string, _ time.Time) bool { return zone == "b" })
	for range 20 {
		name, _ := choose(p, servers, 0, epoch)
		is.Equal(name, "near")
	}
	name, _ := choose(p, servers[1:], 0, epoch)
	is.Equal(name, "far")
}

// Guards against using the slowness learned from an earlier process when a server
// has restarted under the same id.
func TestRestartedServerIsLearnedAnew(t *testing.T) {
	is := is.New(t)
	p := New("a", 1)
	old := []*directory.Server{{Name: "s", Cookie: 1, Zone: "a", Slots: 2, Started: 1}}
	_, ticket := choose(p, old, 0, epoch)
	is.Equal(ticket.ExpectedLatency(), initialServiceTime)
	p.state(1).slowness = 5
	_, ticket = choose(p, old, 0, epoch)
	is.Equal(ticket.ExpectedLatency(), 5*initialServiceTime)
	restarted := []*directory.Server{{Name: "s", Cookie: 1, Zone: "a", Slots: 9, Started: 2}}
	_, ticket = choose(p, restarted, 0, epoch)
	is.Equal(ticket.ExpectedLatency(), initialServiceTime)
}

// Guards against giving a cold server as much load as a warm one.
func TestColdServerIsExpectedToBeSlow(t *testing.T) {
	is := is.New(t)
	p := New("a", 1)
	servers := []*directory.Server{{Name: "s", Cookie: 1, Zone: "a", Slots: 2, ColdFor: time.Second, ReadAt: epoch}}
	_, ticket := choose(p, servers, 0, epoch)
	is.Equal(ticket.ExpectedLatency(), time.Duration(coldSlowness*float64(initialServiceTime)))
	p.MarkAnswered(ticket, epoch)
	p.Abandon(ticket)
	_, ticket = choose(p, servers, 0, epoch.Add(time.Second))
	is.Equal(ticket.ExpectedLatency(), initialServiceTime)
}

// Guards against a crash when there are no candidates.
func TestNoCandidate(t *testing.T) {
	is := is.New(t)
	name, ticket := choose(New("a", 1), nil, 0, epoch)
	is.Equal(name, "")
	is.True(ticket == nil)
}

// Guards against wrong counts of requests in progress when a ticket is closed
// twice, or after its server was pruned.
func TestTicketsEndOnce(t *testing.T) {
	is := is.New(t)
	p, servers := New("a", 1), twoServers()
	_, ticket := choose(p, servers, 0, epoch)
	p.MarkRequestSent(ticket, epoch)
	p.Done(ticket, epoch.Add(time.Millisecond))
	p.Done(ticket, epoch.Add(time.Millisecond))
	p.Abandon(ticket)
	is.Equal(len(p.Load(epoch).InProgress), 0)

	_, ticket = choose(p, servers, 0, epoch)
	p.Prune(directory.NewBuilder().Build())
	p.Done(ticket, epoch)
	is.Equal(len(p.Load(epoch).InProgress), 0)
}

// Guards against ignoring that a peer suspects a server, and against a peer with a
// broken network whose suspicions make this daemon avoid servers that answer it.
func TestSuspicionOfPeers(t *testing.T) {
	is := is.New(t)
	p, servers := New("a", 1), twoServers()
	// openFlow opens a flow and returns its server's name. Only the server "far"
	// accepts it.
	openFlow := func(now time.Time) string {
		name, ticket := choose(p, servers, 0, now)
		if name == "far" {
			p.MarkAnswered(ticket, now)
		}
		p.Abandon(ticket)
		return name
	}
	p.SetPeerLoad("peer", Load{Suspected: []directory.Cookie{1}}, epoch)
	is.Equal(openFlow(epoch), "far")

	_, ticket := choose(p, servers[:1], 0, epoch)
	p.MarkAnswered(ticket, epoch)
	p.Abandon(ticket)
	is.Equal(openFlow(epoch.Add(ownAnswerTTL)), "near")
	is.Equal(openFlow(epoch.Add(ownAnswerTTL+time.Millisecond)), "far")

	p.SetPeerLoad("peer", Load{}, epoch)
	is.Equal(openFlow(epoch.Add(ownAnswerTTL+2*time.Millisecond)), "near")
}

// Guards against an occupancy that counts requests at servers that do not answer, requests at
// other pools, or reports that are too old to show a flood.
func TestOccupancy(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	p := New("a", 1)
	pool := []*directory.Server{{Cookie: 1, Zone: "a", Slots: 2}, {Cookie: 2, Zone: "a", Slots: 2}, {Cookie: 3, Zone: "b", Slots: 2}}
	p.SetPeerLoad("x", Load{InProgress: map[directory.Cookie]int{1: 3, 2: 4, 3: 5, 9: 100}}, now)
	is.Equal(p.Occupancy(pool, now), Occupancy{InProgress: 12, Daemons: 2, Slots: 6})
	p.Resume(pool[0], &directory.Route{Name: "r"}, now)
	is.Equal(p.Occupancy(pool, now), Occupancy{InProgress: 13, Daemons: 2, Slots: 6})
	p.SetPeerLoad("y", Load{Suspected: []directory.Cookie{2}}, now)
	is.Equal(p.Occupancy(pool, now), Occupancy{InProgress: 9, Daemons: 3, Slots: 4})
	p.SetUnreachableFunc(func(zone string, _ time.Time) bool { return zone == "b" })
	is.Equal(p.Occupancy(pool, now), Occupancy{InProgress: 4, Daemons: 3, Slots: 2})
	now = now.Add(occupancyTTL + time.Millisecond)
	is.Equal(p.Occupancy(pool, now), Occupancy{InProgress: 1, Daemons: 1, Slots: 2})
}
