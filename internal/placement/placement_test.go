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

func choose(p *Placer, servers []*directory.Server, avoid directory.Cookie, now time.Time) (string, *Ticket) {
	s, ticket := p.Choose(Request{Route: &directory.Route{Name: "r"}, Candidates: servers, Avoid: avoid, Now: now})
	if s == nil {
		return "", nil
	}
	return s.Name, ticket
}

// Guards against bytes between zones that buy nothing, and against a queue in
// the own zone while servers elsewhere are free.
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

// Guards against requests in progress that other daemons placed and this one
// does not count, or counts for ever.
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

// Guards against copies of an opening packet that go to the silent server
// again, while another one is known.
func TestCopyAvoidsTheServerThatDidNotAnswer(t *testing.T) {
	is := is.New(t)
	p, servers := New("a", 1), twoServers()
	name, _ := choose(p, servers, 1, epoch)
	is.Equal(name, "far")
	name, _ = choose(p, servers[:1], 1, epoch)
	is.Equal(name, "near") // better than no server
}

// Guards against a server that stays out of use after it answers again, and
// against trials in quick succession while it does not.
func TestSuspicionDoublesAndEnds(t *testing.T) {
	is := is.New(t)
	p, servers := New("a", 1), twoServers()
	var beliefs []AvoidanceChange
	p.OnAvoidanceChange(func(b AvoidanceChange) { beliefs = append(beliefs, b) })
	now := epoch
	choose(p, servers, 0, now)
	now = now.Add(AcceptTimeout)
	name, _ := choose(p, servers, 0, now)
	is.Equal(name, "far")
	is.Equal(beliefs, []AvoidanceChange{{Server: 1, Avoided: true, MinDuration: firstSuspicion}})

	now = now.Add(firstSuspicion)
	servers = servers[:1]
	_, trial := choose(p, servers, 0, now)
	now = now.Add(AcceptTimeout)
	choose(p, servers, 0, now)
	is.Equal(beliefs[1].MinDuration, 2*firstSuspicion)

	p.MarkAnswered(trial, now)
	is.Equal(beliefs[2], AvoidanceChange{Server: 1})
	name, _ = choose(p, twoServers(), 0, now)
	is.True(name != "")
}

// Guards against flows into a zone that is cut off, and against a zone alone
// that refuses to serve because its own servers are suspected.
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

// Guards against what was learned of a process that has ended: the server
// started again under its id.
func TestRestartedServerIsLearnedAnew(t *testing.T) {
	is := is.New(t)
	p := New("a", 1)
	old := []*directory.Server{{Name: "s", Cookie: 1, Zone: "a", Slots: 2, Started: 1}}
	_, ticket := choose(p, old, 0, epoch)
	is.Equal(ticket.ExpectedLatency(), initialWork)
	p.server(1).slowness = 5
	_, ticket = choose(p, old, 0, epoch)
	is.Equal(ticket.ExpectedLatency(), 5*initialWork)
	restarted := []*directory.Server{{Name: "s", Cookie: 1, Zone: "a", Slots: 9, Started: 2}}
	_, ticket = choose(p, restarted, 0, epoch)
	is.Equal(ticket.ExpectedLatency(), initialWork)
}

// Guards against a cold server that is loaded like a warm one.
func TestColdServerIsExpectedToBeSlow(t *testing.T) {
	is := is.New(t)
	p := New("a", 1)
	servers := []*directory.Server{{Name: "s", Cookie: 1, Zone: "a", Slots: 2, ColdFor: time.Second, ReadAt: epoch}}
	_, ticket := choose(p, servers, 0, epoch)
	is.Equal(ticket.ExpectedLatency(), time.Duration(coldSlowness*float64(initialWork)))
	p.MarkAnswered(ticket, epoch)
	p.Abandon(ticket)
	_, ticket = choose(p, servers, 0, epoch.Add(time.Second))
	is.Equal(ticket.ExpectedLatency(), initialWork)
}

// Guards against a choice without candidates.
func TestNoCandidate(t *testing.T) {
	is := is.New(t)
	name, ticket := choose(New("a", 1), nil, 0, epoch)
	is.Equal(name, "")
	is.True(ticket == nil)
}

// Guards against accounts that are closed twice or after their server was
// forgotten.
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

// Guards against a dead server that each daemon has to find out about by itself,
// and against a peer whose broken network puts servers out of use that this
// daemon knows to answer.
func TestSuspicionOfPeers(t *testing.T) {
	is := is.New(t)
	p, servers := New("a", 1), twoServers()
	// placed opens a flow that the server accepts, unless it is not to be heard.
	placed := func(now time.Time) string {
		name, ticket := choose(p, servers, 0, now)
		if name == "far" {
			p.MarkAnswered(ticket, now)
		}
		p.Abandon(ticket)
		return name
	}
	p.SetPeerLoad("peer", Load{Suspected: []directory.Cookie{1}}, epoch)
	is.Equal(placed(epoch), "far")

	_, ticket := choose(p, servers[:1], 0, epoch)
	p.MarkAnswered(ticket, epoch)
	p.Abandon(ticket)
	is.Equal(placed(epoch.Add(ownEvidence)), "near")
	is.Equal(placed(epoch.Add(ownEvidence+time.Millisecond)), "far")

	p.SetPeerLoad("peer", Load{}, epoch)
	is.Equal(placed(epoch.Add(ownEvidence+2*time.Millisecond)), "near")
}
