package pace

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/evidence"
)

const (
	testSlots  = 2
	testMaxAge = 2 * time.Second
)

var epoch = time.Unix(1000, 0)

// coldPool are the settings of a pool whose servers are slow after their start.
var coldPool = directory.PoolSettings{ColdStart: 2 * time.Second}

// fleet is a number of daemons before one pool.
type fleet struct {
	builder *directory.Builder
	pacers  []*Pacer
	changes []Change
}

func daemonAddr(i int) netip.Addr { return netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}) }

// newFleet returns daemons that have a directory with their registrations and one server.
func newFleet(daemons int, settings directory.PoolSettings) *fleet {
	f := &fleet{builder: directory.NewBuilder()}
	changes := []directory.Change{{Config: &directory.Config{Version: 1, Pools: map[string]directory.PoolSettings{"p": settings}}}, {Server: testServer(1)}}
	for i := range daemons {
		changes = append(changes, directory.Change{VM: &directory.VM{Name: fmt.Sprint(i), Zone: "a", Addr: daemonAddr(i)}})
		f.pacers = append(f.pacers, New(Options{
			Self: daemonAddr(i), Zone: "a", Random: rand.New(rand.NewPCG(uint64(i), 0)), MaxAge: testMaxAge,
			OnChange: func(c Change) { f.changes = append(f.changes, c) },
		}))
	}
	f.apply(epoch, changes...)
	return f
}

// apply applies changes to the directories of all daemons.
func (f *fleet) apply(now time.Time, changes ...directory.Change) {
	f.builder.Apply(changes, directory.Position{}, now)
	f.builder.Expire(now, now)
	d := f.builder.Build()
	for _, p := range f.pacers {
		p.Apply(d, now)
	}
}

func testServer(number uint64) *directory.Server {
	return &directory.Server{
		Name: fmt.Sprintf("s-%d", number), Number: number, Cookie: directory.CookieOf(number), Pool: "p", Zone: "a", Slots: testSlots,
		Endpoint: netip.MustParseAddrPort("10.0.0.1:80"), CreateRevision: number,
	}
}

// count returns the number of daemons with each decision about a server that has no request.
func (f *fleet) count(c directory.Cookie, now time.Time) map[Decision]int {
	n := map[Decision]int{}
	for _, p := range f.pacers {
		n[p.Decide(c, 0, now)]++
	}
	return n
}

// exchange sends the rows of all daemons to all others.
func (f *fleet) exchange(now time.Time) {
	for _, from := range f.pacers {
		for _, row := range from.Rows(now) {
			for _, to := range f.pacers {
				to.Merge(row, now)
			}
		}
	}
}

// Guards against a flood: many daemons that each try a server that has just started.
func TestStartedServerHasAsManySponsorsAsSlots(t *testing.T) {
	is := is.New(t)
	for _, daemons := range []int{minFleet, 62, 109} {
		f := newFleet(daemons, coldPool)
		f.apply(epoch, directory.Change{Server: testServer(2)})
		n := f.count(2, epoch)
		is.Equal(n[Wanted], 1) // the one that proves the stage
		is.Equal(n[Open], testSlots-1)
		is.Equal(f.count(1, epoch)[Open], daemons) // the server that runs already
		for _, p := range f.pacers {
			is.Equal(p.Decide(2, 1, epoch), Held) // a second request needs an answer to the first
		}
	}
}

// Guards against a server that stays idle because reports are lost, sponsors are dead or
// the fleet is cut in two.
func TestTimeOpensAServerWithoutReportsAndAnswers(t *testing.T) {
	is := is.New(t)
	f := newFleet(109, coldPool)
	f.apply(epoch, directory.Change{Server: testServer(2)})
	now, before := epoch, 0
	for range 6 {
		open := f.count(2, now)[Open] + f.count(2, now)[Wanted]
		is.True(open > before)
		before, now = open, now.Add(stageTime)
	}
	is.Equal(f.count(2, now)[Open], 109)
	is.True(!f.pacers[0].Active())
	is.Equal(f.changes[len(f.changes)-1].Reason, ReasonTime)
}

// Guards against growth by time alone: daemons whose requests are answered in time make the
// server theirs sooner.
func TestTimelyAnswersOpenAServerSooner(t *testing.T) {
	is := is.New(t)
	f := newFleet(16, coldPool)
	f.apply(epoch, directory.Change{Server: testServer(2)})
	now := epoch
	for stage := range 3 {
		sent := now
		now = now.Add(stageTime / 4)
		for _, p := range f.pacers {
			if p.Decide(2, 0, now) != Held {
				p.Answered(2, sent, true, now)
			}
		}
		f.exchange(now)
		is.Equal(f.count(2, now)[Held] > 0, stage < 2)
	}
	is.Equal(f.count(2, now)[Open], 16)
}

// Guards against daemons that go on at the same pace although answers are late or missing,
// and against answers from before the period that count as proof.
func TestLateAndMissingAnswersLowerTheBound(t *testing.T) {
	is := is.New(t)
	f := newFleet(62, coldPool)
	f.apply(epoch, directory.Change{Server: testServer(2)})
	var p *Pacer
	for _, other := range f.pacers {
		if other.Decide(2, 0, epoch) == Wanted {
			p = other
		}
	}
	p.Answered(2, epoch.Add(-1), true, epoch)
	is.Equal(p.Decide(2, 1, epoch), Held) // the answer was none of this process
	p.Answered(2, epoch, true, epoch)
	p.Answered(2, epoch, true, epoch)
	is.Equal(p.Decide(2, 2, epoch), Open)
	p.Answered(2, epoch, false, epoch)
	is.Equal(p.Decide(2, 0, epoch), Held)
	now := epoch.Add(lateHold)
	is.Equal(p.Decide(2, 1, now), Open)
	is.Equal(p.Decide(2, 2, now), Held)
	p.Failed(2, now)
	is.Equal(p.Decide(2, 0, now), Held)
	now = now.Add(missingHold)
	is.Equal(p.Decide(2, 1, now), Held)
}

// Guards against servers that are paced without a reason, and against those that get their
// whole load at once after a start, a restart under the same id, or a return.
func TestPeriodsBegin(t *testing.T) {
	cold := testServer(2)
	cold.ColdFor, cold.ReadAt = time.Second, epoch
	restarted := testServer(2)
	restarted.Started = 7
	for name, c := range map[string]struct {
		settings directory.PoolSettings
		steps    func(f *fleet)
		paced    string
	}{
		"already running":        {settings: coldPool, steps: func(f *fleet) { f.apply(epoch) }},
		"started":                {settings: coldPool, steps: func(f *fleet) { f.apply(epoch, directory.Change{Server: testServer(2)}) }, paced: ReasonStart},
		"cold before the daemon": {steps: func(f *fleet) { f.apply(epoch, directory.Change{Server: cold}) }, paced: ReasonStart},
		"restarted under its id": {settings: coldPool, steps: func(f *fleet) {
			f.apply(epoch, directory.Change{Server: testServer(2)})
			f.apply(epoch.Add(time.Minute))
			f.pacers[0].Decide(2, 0, epoch.Add(time.Minute))
			f.apply(epoch.Add(time.Minute), directory.Change{Server: restarted})
		}, paced: ReasonStart},
		"registered again in time": {settings: coldPool, steps: func(f *fleet) {
			again := testServer(1)
			again.CreateRevision = 9
			f.apply(epoch, directory.Change{Deleted: "s-1"}, directory.Change{Server: again})
		}},
		"returned": {settings: coldPool, steps: func(f *fleet) {
			f.apply(epoch, directory.Change{Deleted: "s-1"})
			f.apply(epoch.Add(time.Minute))
			f.apply(epoch.Add(time.Minute), directory.Change{Server: testServer(1)})
		}, paced: ReasonReturn},
		"recovered":                 {settings: coldPool, steps: func(f *fleet) { f.pacers[0].Recovered(1, epoch) }, paced: ReasonRecovery},
		"recovered, not configured": {steps: func(f *fleet) { f.pacers[0].Recovered(1, epoch) }},
		"gone": {settings: coldPool, steps: func(f *fleet) {
			f.apply(epoch, directory.Change{Deleted: "s-1"})
			f.apply(epoch.Add(time.Minute))
			f.pacers[0].Recovered(1, epoch.Add(time.Minute))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(20, c.settings)
			c.steps(f)
			reason := ""
			for _, change := range f.changes {
				if change.Paced {
					reason = change.Reason
				}
			}
			is.Equal(reason, c.paced)
		})
	}
}

// Guards against daemons that start while a server is cold and give it its whole load, and
// against pacing all servers of a region whose daemons start.
func TestStartingDaemonPacesOnlyColdServers(t *testing.T) {
	is := is.New(t)
	f := newFleet(62, coldPool)
	cold := testServer(2)
	cold.ColdFor, cold.ReadAt = time.Second, epoch
	f.apply(epoch, directory.Change{Server: cold})
	p := New(Options{Self: daemonAddr(3), Zone: "a"})
	p.Apply(f.builder.Build(), epoch)
	is.Equal(p.Paced(epoch), []string{"s-2"})
}

// Guards against holding servers back where every daemon knows their load.
func TestSmallFleetPacesNothing(t *testing.T) {
	is := is.New(t)
	f := newFleet(minFleet-1, coldPool)
	f.apply(epoch, directory.Change{Server: testServer(2)})
	is.Equal(f.count(2, epoch)[Open], minFleet-1)
}

// Guards against daemons that disagree for good because rows come in another order, twice or
// after the end of the period.
func TestRowsMergeInAnyOrder(t *testing.T) {
	is := is.New(t)
	f := newFleet(62, coldPool)
	base := firstPeriod(testServer(1))
	rows := []evidence.Pace{{Server: 1, Period: base + 1, Stage: 2}, {Server: 1, Period: base + 1}, {Server: 1, Period: base + 2, Stage: 1}, {Server: 1, Period: base + 1, Stage: 64}}
	for seed := range uint64(20) {
		p := f.pacers[seed]
		order := rand.New(rand.NewPCG(seed, 0)).Perm(len(rows))
		for _, i := range append(order, order...) {
			p.Merge(rows[i], epoch)
		}
		is.Equal(p.Rows(epoch), []evidence.Pace{{Server: 1, Period: base + 2, Stage: 1}})
	}
}

// Guards against rows of a faulty peer that stop the pacing of a server for good or begin
// periods of servers that nobody knows.
func TestAbsurdRowsAreIgnored(t *testing.T) {
	is := is.New(t)
	f := newFleet(62, coldPool)
	p, base := f.pacers[0], firstPeriod(testServer(1))
	for _, row := range []evidence.Pace{
		{Server: 99, Period: base + 1}, {Server: 1, Period: 1<<64 - 1}, {Server: 1, Period: base + maxRecoveryLead + 1}, {Server: 1, Period: base - 1}, {Server: 1},
	} {
		is.True(!p.Merge(row, epoch))
	}
	is.Equal(len(p.Rows(epoch)), 0)
	is.True(p.Merge(evidence.Pace{Server: 1, Period: base + 1, Stage: 1 << 30}, epoch))
	is.Equal(p.Decide(1, 0, epoch), Open)
}

// Guards against reports that go on about servers whose pace is over, and that leave out the
// latest news when there is more than fits.
func TestRowsAreRecentAndInOrder(t *testing.T) {
	is := is.New(t)
	f := newFleet(62, coldPool)
	p := f.pacers[0]
	f.apply(epoch, directory.Change{Server: testServer(2)}, directory.Change{Server: testServer(3)})
	now := epoch.Add(stageTime / 2)
	p.Merge(evidence.Pace{Server: 3, Period: firstPeriod(testServer(3)), Stage: 1}, now)
	is.Equal(p.Rows(now)[0].Server, directory.Cookie(3))
	is.Equal(len(p.Rows(epoch.Add(6*stageTime))), 2)
	is.Equal(len(p.Rows(epoch.Add(6*stageTime+announceTime))), 0)
}

// Guards against paces in deployments whose configuration and registrations do not say that
// servers are slow after their start.
func TestServersThatAreNeverColdAreNotPaced(t *testing.T) {
	is := is.New(t)
	f := newFleet(60, directory.PoolSettings{})
	f.apply(epoch.Add(time.Second), directory.Change{Server: testServer(2)})
	is.Equal(len(f.changes), 0)
	is.Equal(f.count(directory.CookieOf(2), epoch.Add(time.Second))[Open], 60)
}
