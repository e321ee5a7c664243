package placement

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/evidence"
)

// pacedPlacer returns the Placer of one of many daemons, which is not among the first
// sponsors of the servers.
func pacedPlacer(changes ...directory.Change) (*Placer, *directory.Builder) {
	return pacedPlacerBeside("a", changes...)
}

// pacedPlacerBeside is like pacedPlacer if the other daemons are in a zone.
func pacedPlacerBeside(zone string, changes ...directory.Change) (*Placer, *directory.Builder) {
	b := directory.NewBuilder()
	changes = append(changes, directory.Change{Config: &directory.Config{Version: 1, Pools: map[string]directory.PoolSettings{"p": {ColdStart: time.Second}}}})
	for i := range 30 {
		changes = append(changes, directory.Change{VM: &directory.VM{Zone: zone, Addr: netip.AddrFrom4([4]byte{10, 0, 1, byte(i + 1)})}})
	}
	b.Apply(changes, directory.Position{}, epoch)
	p := New("a", 1)
	p.SetPace(PaceOptions{Self: netip.AddrFrom4([4]byte{10, 0, 2, 1}), DirectoryAge: currentDirectory})
	p.applyAt(b.Build(), epoch)
	return p, b
}

// currentDirectory is a PaceOptions.DirectoryAge.
func currentDirectory(time.Time) time.Duration { return 0 }

func pacedServer(number uint64) directory.Change {
	return directory.Change{Server: &directory.Server{
		Name: fmt.Sprint(number), Number: number, Cookie: directory.CookieOf(number), Pool: "p", Zone: "a", Slots: 2,
		Endpoint: netip.MustParseAddrPort("10.0.0.1:80"), CreateRevision: number,
	}}
}

// start adds servers and returns the candidates.
func start(p *Placer, b *directory.Builder, now time.Time, changes ...directory.Change) []*directory.Server {
	b.Apply(changes, directory.Position{}, now)
	d := b.Build()
	p.applyAt(d, now)
	return d.Candidates("p")
}

// Guards against giving a server that has just started as much load as the others, and against
// a server that stays idle although the others are busy.
func TestStartedServerIsTheSecondChoice(t *testing.T) {
	is := is.New(t)
	p, b := pacedPlacer(pacedServer(1), pacedServer(2))
	servers := start(p, b, epoch, pacedServer(3))
	counts := map[string]int{}
	for range 40 {
		name, _ := choose(p, servers, 0, epoch)
		counts[name]++
	}
	is.True(counts["3"] > 0)
	is.True(counts["3"] < counts["1"]-4 && counts["3"] < counts["2"]-4)
}

// Guards against bounds that keep callers waiting when most servers of a pool start at once,
// or its only one does.
func TestBoundsGiveWayWhenMostServersStart(t *testing.T) {
	is := is.New(t)
	p, b := pacedPlacer(pacedServer(1))
	servers := start(p, b, epoch, pacedServer(2), pacedServer(3))
	for range 2 * len(servers) {
		_, ticket := choose(p, servers, 0, epoch)
		is.Equal(ticket.ExpectedLatency(), initialServiceTime)
	}
	p, b = pacedPlacer()
	servers = start(p, b, epoch, pacedServer(2))
	name, ticket := choose(p, servers, 0, epoch)
	is.Equal(name, "2")
	is.Equal(ticket.ExpectedLatency(), initialServiceTime)
}

// Guards against a server that answers again but is avoided until the suspicion of each daemon
// has run out, and is then taken for slow.
func TestRecoveryThatAPeerReportsEndsTheSuspicion(t *testing.T) {
	is := is.New(t)
	p, b := pacedPlacer(pacedServer(1), pacedServer(2))
	servers := start(p, b, epoch)
	rec := p.state(1)
	rec.suspectedUntil, rec.suspectedFor, rec.slowness = epoch.Add(time.Minute), time.Second, 8
	p.Record(evidence.Peer{}, evidence.Report{Paces: []evidence.Pace{{Server: 1, Period: 1<<16 + 1, Stage: 40}}}, epoch)
	counts := map[string]int{}
	for range 8 {
		name, _ := choose(p, servers, 0, epoch)
		counts[name]++
	}
	is.True(counts["1"] >= 3)
}

// Guards against pacing healthy servers because the network of a daemon was broken: only a
// silence that others have noticed too, while most servers answer, is one of the server.
func TestEndOfSilenceBeginsAPeriod(t *testing.T) {
	for name, c := range map[string]struct {
		zone          string
		peers, others int
		paced         bool
	}{
		"silent server":            {"a", 1, 0, true},
		"nobody else noticed":      {"a", 0, 0, false},
		"most servers were silent": {"a", 1, 2, false},
		"server of another zone":   {"b", 1, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, b := pacedPlacer(pacedServer(1), pacedServer(2), pacedServer(3))
			servers := start(p, b, epoch)
			_, ticket := choose(p, servers, 0, epoch)
			for i, s := range servers {
				rec := p.state(s.Cookie)
				rec.zone = "a"
				if s.Cookie == ticket.Server() {
					rec.suspectedFor, rec.suspectingPeers = 2*initialSuspicion, c.peers
				} else if i < c.others+1 {
					rec.suspectedFor = initialSuspicion * time.Duration(min(1, c.others))
				}
			}
			ticket.zone = c.zone
			p.MarkAnswered(ticket, epoch)
			is.Equal(len(p.PacedServers(epoch)) == 1, c.paced)
		})
	}
}

// Guards against a server that was slow and is never tried again once it is well.
func TestSlowServerIsTriedAgain(t *testing.T) {
	is := is.New(t)
	p, b := pacedPlacerBeside("b", pacedServer(1), pacedServer(2))
	servers := start(p, b, epoch)
	p.serviceTimes["r"] = initialServiceTime
	rec := p.state(1)
	rec.slowness, rec.slowRetry.lastAnswer = 8, epoch
	// answer lets the server of a new flow answer, and returns its name.
	answer := func(now time.Time, took time.Duration) string {
		name, ticket := choose(p, servers, 0, now)
		p.MarkRequestSent(ticket, now)
		p.Done(ticket, now.Add(took))
		return name
	}
	is.Equal(answer(epoch.Add(minSlowRetry-1), initialServiceTime), "2")
	now := epoch.Add(minSlowRetry)
	is.Equal(answer(now, 8*initialServiceTime), "1")
	now = now.Add(minSlowRetry + time.Second) // the next trial is later
	is.Equal(answer(now, initialServiceTime), "2")
	now = now.Add(2 * minSlowRetry)
	is.Equal(answer(now, initialServiceTime), "1")
	is.True(rec.slowness > slowServer) // one answer may be short by chance
	is.Equal(answer(now, initialServiceTime), "1")
	is.Equal(rec.slowness, wellServer)
	is.Equal(p.PacedServers(now), []string{"1"})
}
