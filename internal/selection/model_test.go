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

// The queueing model: independent owners, each with its own policy, send a
// Poisson stream of flows to one pool. A server works on its slots at its own
// speed and queues the other flows first come, first served. A flow is open
// from its arrival to the end of its work.
type model struct {
	owners    int
	speeds    []float64 // of the servers; 1 does a second of work in a second
	weights   []uint32  // what the operator set
	slots     uint32
	load      float64 // offered work over capacity
	short     time.Duration
	long      time.Duration
	longPart  float64
	firstWork time.Duration // work before the first response of a long flow
	closeLag  time.Duration // from the end of a flow to the report of its end
	warmUp    time.Duration
	window    time.Duration // one measured stretch
	windows   int
	seed      uint64
	build     func(owner int, now time.Time) Policy
}

// result is what one run of the model measured.
type result struct {
	imbalance float64   // over all windows together
	perWindow []float64 // imbalance of each window
	deviated  float64   // part of all flows off their default
	longOff   float64   // long flows off their default, as a part of all flows
	meanWait  time.Duration
}

func (r result) String() string {
	worst := slices.Max(r.perWindow)
	sum := 0.0
	for _, w := range r.perWindow {
		sum += w
	}
	return fmt.Sprintf("imbalance %.3f (windows: mean %.3f, worst %.3f) deviated %.3f, long %.4f, wait %v",
		r.imbalance, sum/float64(len(r.perWindow)), worst, r.deviated, r.longOff, r.meanWait.Round(10*time.Microsecond))
}

// standardModel is 8 owners and 14 servers with 2 slots whose speeds differ by
// a factor of 4, unknown to the operator: every weight is the default.
func standardModel(seed uint64) model {
	m := model{
		owners: 8, slots: 2, load: 0.6,
		short: 20 * time.Millisecond, long: time.Second, longPart: 0.05, firstWork: 10 * time.Millisecond,
		warmUp: time.Minute, window: time.Minute, windows: 10, seed: seed,
	}
	for i := range 14 {
		m.speeds = append(m.speeds, 0.5+1.5*float64(i)/13)
		m.weights = append(m.weights, tables.DefaultWeight)
	}
	return m
}

type flowState struct {
	owner, server int
	long          bool
	work          time.Duration // at speed 1
	opened        time.Time
}

type event struct {
	at    time.Time
	order int // of creation, breaks ties
	run   func(now time.Time)
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

type modelServer struct {
	working int
	queue   []*flowState
	busy    []time.Duration // slot time by window
}

type simulation struct {
	model
	random            *rand.Rand
	start             time.Time
	queue             events
	created           int
	pool              *tables.Pool
	policies          []Policy
	servers           []*modelServer
	flows, off, longs int
	waited            time.Duration
}

func (m model) run() result {
	s := &simulation{model: m, random: rand.New(rand.NewPCG(m.seed, 1)), start: time.Unix(1_000_000, 0)}
	s.pool = newPool(m.weights, m.slots)
	for range m.speeds {
		s.servers = append(s.servers, &modelServer{busy: make([]time.Duration, m.windows)})
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
	s.created++
	heap.Push(&s.queue, event{at, s.created, run})
}

// rate is the number of flows per second that offers the wanted load.
func (s *simulation) rate() float64 {
	capacity := 0.0
	for _, v := range s.speeds {
		capacity += v * float64(s.slots)
	}
	work := (1-s.longPart)*s.short.Seconds() + s.longPart*s.long.Seconds()
	return s.load * capacity / work
}

func (s *simulation) arrive(now time.Time) {
	s.schedule(now.Add(time.Duration(s.random.ExpFloat64()/s.rate()*float64(time.Second))), s.arrive)
	f := &flowState{owner: s.random.IntN(s.owners), long: s.random.Float64() < s.longPart, opened: now}
	mean := s.short
	if f.long {
		mean = s.long
	}
	f.work = time.Duration(s.random.ExpFloat64() * float64(mean))
	choice, err := s.policies[f.owner].Choose(Request{Key: s.random.Uint64(), Pool: s.pool, Now: now})
	if err != nil {
		panic(err)
	}
	f.server = slices.IndexFunc(s.pool.Servers, func(t tables.Server) bool { return t.ID == choice.Server.ID })
	s.policies[f.owner].Opened(choice.Server.ID, now)
	if s.measuring(now) {
		s.flows++
		if !choice.Default {
			s.off++
			if f.long {
				s.longs++
			}
		}
	}
	server := s.servers[f.server]
	server.queue = append(server.queue, f)
	s.serve(server, now)
}

// serve starts the next flow if a slot is free.
func (s *simulation) serve(server *modelServer, now time.Time) {
	if server.working == int(s.slots) || len(server.queue) == 0 {
		return
	}
	f := server.queue[0]
	server.queue = server.queue[1:]
	server.working++
	if s.measuring(now) {
		s.waited += now.Sub(f.opened)
	}
	took := s.scale(f.work, f)
	s.occupy(server, now, now.Add(took))
	first := took
	if f.long {
		first = min(took, s.scale(s.firstWork, f))
	}
	id := s.pool.Servers[f.server].ID
	s.schedule(now.Add(first), func(at time.Time) { s.policies[f.owner].Answered(id, at.Sub(f.opened), at) })
	end := now.Add(took)
	s.schedule(end.Add(s.closeLag), func(time.Time) { s.policies[f.owner].Closed(id, f.opened, end) })
	s.schedule(end, func(at time.Time) {
		server.working--
		s.serve(server, at)
	})
}

func (s *simulation) scale(work time.Duration, f *flowState) time.Duration {
	return time.Duration(float64(work) / s.speeds[f.server])
}

// occupy adds slot time to the windows that it overlaps.
func (s *simulation) occupy(server *modelServer, from, to time.Time) {
	for w := range s.windows {
		begin := s.start.Add(s.warmUp + time.Duration(w)*s.window)
		end := begin.Add(s.window)
		overlap := min(to.Sub(begin), s.window) - max(from.Sub(begin), 0)
		if from.Before(end) && overlap > 0 {
			server.busy[w] += overlap
		}
	}
}

func (s *simulation) measuring(now time.Time) bool { return now.Sub(s.start) >= s.warmUp }

func (s *simulation) result() result {
	r := result{}
	sums := make([]time.Duration, len(s.servers))
	for w := range s.windows {
		busy := make([]time.Duration, len(s.servers))
		for i, server := range s.servers {
			busy[i] = server.busy[w]
			sums[i] += server.busy[w]
		}
		r.perWindow = append(r.perWindow, imbalance(busy))
	}
	r.imbalance = imbalance(sums)
	r.deviated = float64(s.off) / float64(s.flows)
	r.longOff = float64(s.longs) / float64(s.flows)
	r.meanWait = s.waited / time.Duration(s.flows)
	return r
}

// imbalance is the maximum over the mean. Slot time is work divided by speed,
// so with equal slots it is the utilisation weighted by speed.
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

// applyPools gives pools to a Chooser without a snapshot around them.
func applyPools(p Policy, pools []*tables.Pool, now time.Time) {
	if c, ok := p.(*Chooser); ok {
		c.applyPools(pools, now)
	}
}
