package selection

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/tables"
)

var start = time.Unix(1_000_000, 0)

// fixture is a Chooser with one pool, and the health changes that it reported.
type fixture struct {
	*Chooser
	pool    *tables.Pool
	rng     *rand.Rand
	changes []HealthChange
}

func newFixture(servers int) *fixture {
	f := &fixture{pool: newPool(make([]uint32, servers), 2), rng: rand.New(rand.NewPCG(7, 7))}
	for i := range f.pool.Servers {
		f.pool.Servers[i].Weight = tables.DefaultWeight
	}
	f.Chooser = NewChooser(start, func(c HealthChange) { f.changes = append(f.changes, c) })
	f.applyPools([]*tables.Pool{f.pool}, start)
	return f
}

func (f *fixture) request(now time.Time) Request {
	return Request{Key: f.rng.Uint64(), Pool: f.pool, Now: now}
}

func (f *fixture) fail(id tables.ServerID, times int, now time.Time) {
	for range times {
		f.Failed(id, now)
	}
}

// idleShares returns the fraction of choices that each server gets while no flow
// is open.
func (f *fixture) idleShares(now time.Time) map[tables.ServerID]float64 {
	const flows = 20_000
	out := map[tables.ServerID]float64{}
	for range flows {
		c, err := f.Choose(f.request(now))
		if err != nil {
			panic(err)
		}
		out[c.Server.ID] += 1. / flows
	}
	return out
}

func refusalReason(err error) metrics.Reason {
	if e, ok := err.(*RefusalError); ok {
		return e.Reason
	}
	return ""
}

// Guards against flows that leave their default server although the pool is
// idle.
func TestChooseUsesDefaultWhenIdle(t *testing.T) {
	is := is.New(t)
	f := newFixture(14)
	for range 1000 {
		r := f.request(start)
		c, err := f.Choose(r)
		is.NoErr(err)
		want, _ := Default(r.Key, r.Pool)
		is.Equal(c, Choice{Server: want, Default: true})
	}
}

// Guards against a server that gets more flows than this owner's share of its
// connection limit, and against a wrong refusal reason when all servers are full.
func TestChooseKeepsEveryServerWithinItsShareOfTheLimit(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	for i := range f.pool.Servers {
		f.pool.Servers[i].Connections = 20
	}
	f.SetShare(0.25)
	open := map[tables.ServerID]int{}
	for range 4 * 5 {
		c, err := f.Choose(f.request(start))
		is.NoErr(err)
		f.Opened(c.Server.ID, start)
		open[c.Server.ID]++
	}
	for _, s := range f.pool.Servers {
		is.Equal(open[s.ID], 5)
	}
	_, err := f.Choose(f.request(start))
	is.Equal(refusalReason(err), metrics.ServerLimit)
	f.Closed(f.pool.Servers[2].ID, start, start)
	c, err := f.Choose(f.request(start))
	is.NoErr(err)
	is.Equal(c.Server.ID, f.pool.Servers[2].ID)
}

// Guards against owners of few slots that never use a server with a low
// connection limit, because their share of it rounds down to 0.
func TestLimitShareIsAtLeastOne(t *testing.T) {
	is := is.New(t)
	is.Equal(limitShare(20, 0.0001), 1)
	is.Equal(limitShare(2000, 0.125), 250)
}

// Guards against flows that stay on an overloaded default server while other
// servers are idle.
func TestChooseKeepsOpenFlowsWithinTheBound(t *testing.T) {
	is := is.New(t)
	f := newFixture(10)
	open := map[tables.ServerID]int{}
	for range 1000 {
		c, err := f.Choose(f.request(start))
		is.NoErr(err)
		f.Opened(c.Server.ID, start)
		open[c.Server.ID]++
	}
	for _, n := range open {
		is.True(n <= 107) // 1.05 * 100 flows + 2: the flow being opened and the one added to the bound
	}
}

// Guards against deviations while the exception budget is empty, and against new
// flows on an unusable default server.
func TestChooseDefaultOnly(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	r := f.request(start)
	r.DefaultOnly = true
	want, _ := Default(r.Key, r.Pool)
	for range 100 {
		f.Opened(want.ID, start)
	}
	c, err := f.Choose(r)
	is.NoErr(err)
	is.Equal(c, Choice{Server: want, Default: true})
	f.fail(want.ID, FailuresToEject, start)
	c, err = f.Choose(r)
	is.NoErr(err)
	is.True(c.Server.ID != want.ID)
	is.True(!c.Default)
}

// Guards against choosing a server that must not get new flows.
func TestChooseRefusesWithoutUsableServer(t *testing.T) {
	for _, c := range []struct {
		name  string
		setUp func(f *fixture, r *Request)
	}{
		{"all drain", func(f *fixture, _ *Request) {
			for i := range f.pool.Servers {
				f.pool.Servers[i].State = tables.Draining
			}
		}},
		{"all avoided", func(_ *fixture, r *Request) { r.Avoid = func(*tables.Server) bool { return true } }},
		{"empty pool", func(_ *fixture, r *Request) { r.Pool = &tables.Pool{} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(3)
			r := f.request(start)
			c.setUp(f, &r)
			_, err := f.Choose(r)
			is.Equal(refusalReason(err), metrics.NoUsableServer)
		})
	}
}

// Guards against ejecting a server for failures with responses between them, not
// ejecting it for consecutive failures, and ejections that do not become longer
// or do not end.
func TestEjection(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	id, now := f.pool.Servers[0].ID, start
	f.fail(id, FailuresToEject-1, now)
	f.Answered(id, time.Millisecond, now)
	f.fail(id, FailuresToEject-1, now)
	is.True(!f.Ejected(id, now))
	for _, want := range []time.Duration{10, 20, 40, 80, 160, 300, 300} {
		f.fail(id, FailuresToEject, now)
		is.True(f.Ejected(id, now))
		is.Equal(f.idleShares(now)[id], 0.)
		now = now.Add(want*time.Second - 1)
		is.True(f.Ejected(id, now))
		now = now.Add(1)
		is.True(!f.Ejected(id, now))
	}
	f.Answered(id, time.Millisecond, now)
	is.Equal(f.changes[len(f.changes)-1], HealthChange{Kind: Reinstated, Server: id, Pool: "despacho"})
	now = now.Add(MaxEjection)
	f.Answered(id, time.Millisecond, now)
	f.fail(id, FailuresToEject, now)
	is.Equal(f.changes[len(f.changes)-1], HealthChange{Kind: Ejected, Server: id, Pool: "despacho", Duration: InitialEjection})
}

// Guards against ejecting more than half of a pool, for example on misleading
// health data.
func TestEjectionFloor(t *testing.T) {
	for _, c := range []struct{ servers, ejected int }{{1, 0}, {2, 1}, {3, 1}, {14, 7}} {
		is := is.New(t)
		f := newFixture(c.servers)
		ejected, refused := 0, 0
		for _, s := range f.pool.Servers {
			f.fail(s.ID, FailuresToEject, start)
			if f.Ejected(s.ID, start) {
				ejected++
			}
		}
		for _, change := range f.changes {
			if change.Kind == EjectionRefused {
				refused++
			}
		}
		is.Equal(ejected, c.ejected)
		is.Equal(refused, c.servers-c.ejected)
		_, err := f.Choose(f.request(start))
		is.NoErr(err)
	}
}

// Guards against a server that gets its full share of flows immediately after it
// was added or after an ejection ended.
func TestSlowStart(t *testing.T) {
	addServer := func(f *fixture, now time.Time) tables.ServerID {
		grown := newPool([]uint32{100, 100, 100, 100, 100}, 2)
		f.applyPools([]*tables.Pool{grown}, now)
		f.pool = grown
		return grown.Servers[4].ID
	}
	reinstate := func(f *fixture, now time.Time) tables.ServerID {
		id := addServer(f, start)
		f.fail(id, FailuresToEject, now.Add(-InitialEjection))
		return id
	}
	for name, setUp := range map[string]func(*fixture, time.Time) tables.ServerID{"added": addServer, "reinstated": reinstate} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(4)
			now := start.Add(time.Minute)
			id := setUp(f, now)
			for _, step := range []struct {
				after  time.Duration
				weight float64
			}{{0, 0.1}, {SlowStartWindow / 2, 0.55}, {SlowStartWindow, 1}, {2 * SlowStartWindow, 1}} {
				got := f.idleShares(now.Add(step.after))[id]
				want := step.weight / (4 + step.weight)
				is.True(got > 0.9*want && got < 1.1*want) // share follows the weight
			}
		})
	}
}

// Guards against a negative flow count when a server is removed while it has
// flows and is then added again.
func TestForgottenServerStartsAtZero(t *testing.T) {
	is := is.New(t)
	f := newFixture(2)
	id := f.pool.Servers[1].ID
	f.Opened(id, start)
	f.applyPools([]*tables.Pool{newPool([]uint32{100}, 2)}, start)
	f.Closed(id, start, start)
	f.applyPools([]*tables.Pool{f.pool}, start)
	f.Closed(id, start, start)
	is.Equal(f.index.servers[id].server.flows, 0)
	is.Equal(f.index.servers[f.pool.Servers[0].ID].server.flows, 0)
}

// Guards against counting idle time as busy time when the end of a flow is
// reported late.
func TestLateEndTakesBusyTimeBack(t *testing.T) {
	is := is.New(t)
	rec := newServer(0, true)
	rec.open(0)
	rec.updateBusy(instant(2 * time.Second))
	is.True(rec.busy > 0.15)
	rec.close(instant(100 * time.Millisecond))
	is.True(rec.busy < 0.011) // 0.1 s of 10 s
	is.Equal(rec.flows, 0)
}

// Guards against losing the observations of a server when a new version of the
// tables changes something else.
func TestApplyKeepsRecords(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	id := f.pool.Servers[0].ID
	f.Opened(id, start)
	f.fail(id, FailuresToEject, start)
	next := newPool([]uint32{100, 200, 100, 100}, 2)
	f.applyPools([]*tables.Pool{next}, start)
	is.Equal(f.index.servers[id].server.flows, 1)
	is.True(f.Ejected(id, start))
	// Choose still accepts the pool of the earlier version, with the same records.
	c, err := f.Choose(Request{Key: 1, Pool: f.pool, Now: start, Avoid: func(s *tables.Server) bool { return s.ID > id+1 }})
	is.NoErr(err)
	is.Equal(c.Server, &f.pool.Servers[1])
}

// Guards against flows that leave their default server after a new version of
// the tables, applied or not, because the utilisation of the pool is unknown.
func TestNewVersionKeepsFlowsOnTheirDefault(t *testing.T) {
	is := is.New(t)
	f := newFixture(4)
	// Unequal loads within the bounds: beyond the bounds the least loaded
	// servers would be used.
	for i, s := range f.pool.Servers {
		for range 10 + i%2 {
			f.Opened(s.ID, start)
		}
	}
	now := start.Add(time.Minute)
	_, err := f.Choose(f.request(now)) // measures the utilisations
	is.NoErr(err)
	next := newPool([]uint32{100, 100, 100, 100}, 2)
	for _, step := range []func(){func() {}, func() { f.applyPools([]*tables.Pool{next}, now) }} {
		step()
		for key := range uint64(100) {
			c, err := f.Choose(Request{Key: key, Pool: next, Now: now})
			is.NoErr(err)
			is.True(c.Default)
		}
	}
}

// Guards against data races between choices, reports and table changes.
func TestConcurrentUse(t *testing.T) {
	f := newFixture(6)
	var group sync.WaitGroup
	for worker := range 4 {
		group.Go(func() {
			for i := range 500 {
				now := start.Add(time.Duration(i) * 10 * time.Millisecond)
				c, err := f.Choose(Request{Key: uint64(worker*1000 + i), Pool: f.pool, Now: now})
				if err != nil {
					continue
				}
				f.Opened(c.Server.ID, now)
				f.Answered(c.Server.ID, time.Millisecond, now)
				f.Ejected(c.Server.ID, now)
				f.Closed(c.Server.ID, now, now)
			}
		})
	}
	group.Go(func() {
		for i := range 50 {
			f.applyPools([]*tables.Pool{f.pool}, start.Add(time.Duration(i)*time.Millisecond))
			f.SetShare(0.5)
		}
	})
	group.Wait()
}

// Guards against placing a flow on a server that it must avoid, under any load,
// and against avoiding other servers as well.
func TestChooseAvoids(t *testing.T) {
	is := is.New(t)
	f := newFixture(6)
	for i := range 600 {
		r := f.request(start)
		r.DefaultOnly = i%2 == 0
		want, _ := Default(r.Key, f.pool)
		r.Avoid = func(s *tables.Server) bool { return s == want }
		c, err := f.Choose(r)
		is.NoErr(err)
		is.True(c.Server != want)
		is.True(!c.Default)
		f.Opened(c.Server.ID, start)
	}
	r := f.request(start)
	r.Avoid = func(s *tables.Server) bool { return s != &f.pool.Servers[3] }
	c, err := f.Choose(r)
	is.NoErr(err)
	is.Equal(c.Server, &f.pool.Servers[3])
}

// Guards against heap allocations for each new flow, accepted or refused.
func TestChooseDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	f := newFixture(20)
	now := start
	step := func() {
		now = now.Add(time.Millisecond)
		c, _ := f.Choose(f.request(now))
		f.Opened(c.Server.ID, now)
		f.Closed(c.Server.ID, now, now)
	}
	is.Equal(testing.AllocsPerRun(1000, step), 0.)
	refuse := func() {
		_, _ = f.Choose(Request{Pool: f.pool, Now: now, Avoid: func(*tables.Server) bool { return true }})
	}
	is.Equal(testing.AllocsPerRun(1000, refuse), 0.)
}
