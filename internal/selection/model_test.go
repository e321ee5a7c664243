package selection

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"knapweedshore.example/internal/tables"
)

// model is a queueing model: independent owners, each with its own policy, send
// a Poisson stream of flows to one pool. A server processes one flow per slot at
// its own speed and queues further flows first in, first out. A flow is open from
// its arrival to the end of its work.
type model struct {
	owners            int
	speeds            []float64     // of the servers; speed 1 does 1 s of work in 1 s
	weights           []uint32      // configured by the operator
	slots             uint32        // per server
	load              float64       // offered work divided by capacity
	shortWork         time.Duration // mean work of a short flow, at speed 1
	longWork          time.Duration // mean work of a long flow, at speed 1
	longFraction      float64       // fraction of long flows
	firstResponseWork time.Duration // work before the first response of a long flow
	closeDelay        time.Duration // from the end of a flow to the report of its end
	warmUp            time.Duration // time before the first window
	window            time.Duration // length of a measurement window
	windows           int
	seed              uint64
	build             func(owner int, now time.Time) Policy
}

// result holds the measurements of one run of the model.
type result struct {
	imbalance    float64   // over the whole measured time
	perWindow    []float64 // imbalance of each window
	deviated     float64   // fraction of all flows that are not on their default server
	longDeviated float64   // long flows not on their default server, as a fraction of all flows
	meanWait     time.Duration
}

func (r result) String() string {
	worst := slices.Max(r.perWindow)
	sum := 0.0
	for _, w := range r.perWindow {
		sum += w
	}
	return fmt.Sprintf("imbalance %.3f (windows: mean %.3f, worst %.3f) deviated %.3f, long %.4f, wait %v",
		r.imbalance, sum/float64(len(r.perWindow)), worst, r.deviated, r.longDeviated, r.meanWait.Round(10*time.Microsecond))
}

// standardModel returns a model with 8 owners and 14 servers of 2 slots. The
// speeds differ by up to a factor of 4, but every server has the default weight.
func standardModel(seed uint64) model {
	m := model{
		owners: 8, slots: 2, load: 0.6,
		shortWork: 20 * time.Millisecond, longWork: time.Second, longFraction: 0.05, firstResponseWork: 10 * time.Millisecond,
		warmUp: time.Minute, window: time.Minute, windows: 10, seed: seed,
	}
	for i := range 14 {
		m.speeds = append(m.speeds, 0.5+1.5*float64(i)/13)
		m.weights = append(m.weights, tables.DefaultWeight)
	}
	return m
}

type modelFlow struct {
	owner, server int
	long          bool
	work          time.Duration // at speed 1
	opened        time.Time
}

type event struct {
	at  time.Time
	seq int // order of creation, breaks ties
	run func(now time.Time)
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type modelServer struct {
	busySlots int
	queue     []*modelFlow
	busyTime  []time.Duration // slot time per window
}

// simulation is one run of a model. flows, deviated and longDeviated count the
// flows that arrive after the warm-up.
type simulation struct {
	model
	rng                           *rand.Rand
	start                         time.Time
	queue                         eventQueue
	scheduled                     int
	pool                          *tables.Pool
	policies                      []Policy
	servers                       []*modelServer
	flows, deviated, longDeviated int
	totalWait                     time.Duration
}

func (m model) run() result {
	s := &simulation{model: m, rng: rand.New(rand.NewPCG(m.seed, 1)), start: time.Unix(1_000_000, 0)}
	s.pool = newPool(m.weights, m.slots)
	for range m.speeds {
		s.servers = append(s.servers, &modelServer{busyTime: make([]time.Duration, m.windows)})
	}
	for i := range m.owners {
		p := m.build(i, s.start)
		p.SetShare(1 / float64(m.owners))
		applyPools(p, []*tables.Pool{s.pool}, s.start)
		s.policies = append(s.policies, p)
	}
	s.schedule(s.start, s.arrive)
	end := s.start.Add(m.warmUp + time.Duration(m.windows)*m.window)
	for s.queue[0].at.Before(end) {
		e := heap.Pop(&s.queue).(event)
		e.run(e.at)
	}
	return s.result()
}

func (s *simulation) schedule(at time.Time, run func(time.Time)) {
	s.scheduled++
	heap.Push(&s.queue, event{at, s.scheduled, run})
}

// rate returns the number of new flows per second that produces the load.
func (s *simulation) rate() float64 {
	capacity := 0.0
	for _, v := range s.speeds {
		capacity += v * float64(s.slots)
	}
	work := (1-s.longFraction)*s.shortWork.Seconds() + s.longFraction*s.longWork.Seconds()
	return s.load * capacity / work
}

func (s *simulation) arrive(now time.Time) {
	s.schedule(now.Add(time.Duration(s.rng.ExpFloat64()/s.rate()*float64(time.Second))), s.arrive)
	f := &modelFlow{owner: s.rng.IntN(s.owners), long: s.rng.Float64() < s.longFraction, opened: now}
	mean := s.shortWork
	if f.long {
		mean = s.longWork
	}
	f.work = time.Duration(s.rng.ExpFloat64() * float64(mean))
	choice, err := s.policies[f.owner].Choose(Request{Key: s.rng.Uint64(), Pool: s.pool, Now: now})
	if err != nil {
		panic(err)
	}
	f.server = slices.IndexFunc(s.pool.Servers, func(t tables.Server) bool { return t.ID == choice.Server.ID })
	s.policies[f.owner].Opened(choice.Server.ID, now)
	if s.pastWarmUp(now) {
		s.flows++
		if !choice.Default {
			s.deviated++
			if f.long {
				s.longDeviated++
			}
		}
	}
	server := s.servers[f.server]
	server.queue = append(server.queue, f)
	s.serve(server, now)
}

// serve starts the next queued flow if a slot is free.
func (s *simulation) serve(server *modelServer, now time.Time) {
	if server.busySlots == int(s.slots) || len(server.queue) == 0 {
		return
	}
	f := server.queue[0]
	server.queue = server.queue[1:]
	server.busySlots++
	if s.pastWarmUp(now) {
		s.totalWait += now.Sub(f.opened)
	}
	took := s.serviceTime(f.work, f)
	s.recordBusy(server, now, now.Add(took))
	first := took
	if f.long {
		first = min(took, s.serviceTime(s.firstResponseWork, f))
	}
	id := s.pool.Servers[f.server].ID
	s.schedule(now.Add(first), func(at time.Time) { s.policies[f.owner].Answered(id, at.Sub(f.opened), at) })
	end := now.Add(took)
	s.schedule(end.Add(s.closeDelay), func(time.Time) { s.policies[f.owner].Closed(id, f.opened, end) })
	s.schedule(end, func(at time.Time) {
		server.busySlots--
		s.serve(server, at)
	})
}

// serviceTime returns how long the flow's server takes for this work.
func (s *simulation) serviceTime(work time.Duration, f *modelFlow) time.Duration {
	return time.Duration(float64(work) / s.speeds[f.server])
}

// recordBusy adds the time for which a slot is busy to the windows that it
// overlaps.
func (s *simulation) recordBusy(server *modelServer, from, to time.Time) {
	for w := range s.windows {
		begin := s.start.Add(s.warmUp + time.Duration(w)*s.window)
		end := begin.Add(s.window)
		overlap := min(to.Sub(begin), s.window) - max(from.Sub(begin), 0)
		if from.Before(end) && overlap > 0 {
			server.busyTime[w] += overlap
		}
	}
}

func (s *simulation) pastWarmUp(now time.Time) bool { return now.Sub(s.start) >= s.warmUp }

func (s *simulation) result() result {
	r := result{}
	sums := make([]time.Duration, len(s.servers))
	for w := range s.windows {
		busy := make([]time.Duration, len(s.servers))
		for i, server := range s.servers {
			busy[i] = server.busyTime[w]
			sums[i] += server.busyTime[w]
		}
		r.perWindow = append(r.perWindow, imbalance(busy))
	}
	r.imbalance = imbalance(sums)
	r.deviated = float64(s.deviated) / float64(s.flows)
	r.longDeviated = float64(s.longDeviated) / float64(s.flows)
	r.meanWait = s.totalWait / time.Duration(s.flows)
	return r
}

// imbalance returns the maximum of the busy times divided by their mean. Busy
// time is work divided by speed, so with equal numbers of slots it is
// proportional to utilisation.
func imbalance(busy []time.Duration) float64 {
	var sum time.Duration
	for _, b := range busy {
		sum += b
	}
	return float64(slices.Max(busy)) * float64(len(busy)) / float64(sum)
}

func newPool(weights []uint32, slots uint32) *tables.Pool {
	p := &tables.Pool{Name: "despacho"}
	for i, w := range weights {
		p.Servers = append(p.Servers, tables.Server{
			ID: tables.ServerID(100 + i), Name: fmt.Sprintf("s%02d", i),
			Endpoint: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 80),
			Zone:     "cartago-norte", Weight: w, Slots: slots,
			Connections: tables.DefaultConnections, State: tables.Active,
		})
	}
	return p
}

// applyPools applies pools to a Chooser without building a snapshot.
func applyPools(p Policy, pools []*tables.Pool, now time.Time) {
	if c, ok := p.(*Chooser); ok {
		c.applyPools(pools, now)
	}
}
