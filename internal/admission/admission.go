// Package admission decides whether a new flow is served when its pool has too little
// room for all of them. It answers one load: more requests than the servers of a pool
// can answer within the target latencies of their routes, where some routes of the
// pool are more urgent than others.
//
// Each daemon decides alone. It bounds the requests that it has in progress at a pool
// by a limit that follows the latency of its own answers, and gives the room under the
// limit to the more urgent routes first. It refuses nothing unless the servers are busy and
// are asked for much more than they can do.
package admission

import (
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"knapweedshore.example/internal/directory"
)

// Limits on the requests in progress. They are multiples of the daemon's share of the
// pool's slots.
const (
	// initialLevel, minLevel and maxLevel bound the limit. Below one request per slot,
	// slots are idle; at maxLevel, a slot has hardly ever nothing to do, and more requests
	// only wait.
	initialLevel, minLevel, maxLevel = 4.0, 0.75, 4.5
	// levelIncrease is added and levelDecrease multiplied once per adjustInterval.
	levelIncrease, levelDecrease = 0.1, 0.7
	// windup is the share of the requests in progress below which the limit does not fall.
	windup = 0.5
	// busyLevel is the occupancy of the pool from which on its servers count as busy, and
	// freeLevel that below which they no longer do. Below fullLevel, slots are free.
	busyLevel, freeLevel, fullLevel = 3.0, 2.5, 1.0
	// overload is the work asked for, as a multiple of what the servers can do, from which on
	// flows are refused. Below it, the queues and the callers' further tries bridge a busy time:
	// servers reject less than half of the tries.
	overload = 2.0
	// overloadEnd is the work asked for below which they no longer are.
	overloadEnd = 1.5
	// urgentLevel is the limit for all but the least urgent routes.
	urgentLevel = 8.0
	// rampStart and rampEnd are where refusals begin and where all flows are refused, as
	// multiples of the limit.
	rampStart, rampEnd = 0.55, 1.05
	// keptShare is the share of the limit that every route keeps, however many more
	// urgent requests there are.
	keptShare = 0.05
)

// Latencies as shares of the target latency. Requests of one route differ by a factor of
// two or three, and a refused or lost try takes its part of the target too.
const (
	// timelyDelay is the average below which the limit may grow, lateDelay that above which
	// it shrinks.
	timelyDelay, lateDelay = 0.25, 1.0 / 3
	// tooLate is the average from which on many answers are late.
	tooLate = 0.5
	// delayGain is the weight of one answer in the average.
	delayGain = 0.15
)

const (
	// observeInterval is the time between two looks at the fleet.
	observeInterval = 20 * time.Millisecond
	// adjustInterval is the time between two adjustments of a limit.
	adjustInterval = 100 * time.Millisecond
	// calmTime is how long the servers must not have been busy until nothing is refused.
	calmTime = 300 * time.Millisecond
	// delayTTL is how long the average delay is used without a new answer.
	delayTTL = time.Second
	// askedTime is the time constant of the work asked for.
	askedTime = 300 * time.Millisecond
	// activeTime is how long a route counts as asked for after its last new flow. Many routes
	// of a configuration have no traffic.
	activeTime = 10 * time.Second
	// averageTime is the time constant of the average requests in progress of a route.
	averageTime = 200 * time.Millisecond
)

// Occupancy is what a daemon and the peers that it has heard recently have in progress
// at the servers of a pool that answer.
type Occupancy struct {
	// InProgress is the number of requests, and Daemons that of the daemons that have
	// placed them, this one included.
	InProgress, Daemons int
	// Slots is the number of slots of these servers.
	Slots int
}

// Fleet is what a Controller has to know of the other daemons and the servers.
type Fleet interface {
	// Daemons returns the number of daemons that take flows, this one included.
	Daemons(now time.Time) int
	// Occupancy returns the requests in progress at those of the servers that answer.
	Occupancy(servers []*directory.Server, now time.Time) Occupancy
}

// Request describes a new flow.
type Request struct {
	Route *directory.Route
	Pool  string
	// Candidates are the servers of the pool that take new flows.
	Candidates []*directory.Server
	Caller     netip.Addr
	Now        time.Time
}

// Decision is the outcome for one flow, with the inputs that it rests on.
type Decision struct {
	Refused bool
	// InProgress is the number of requests that the daemon has in progress at the pool,
	// and Limit the number up to which it admits the least urgent routes.
	InProgress int
	Limit      float64
	// Occupancy is the estimated number of requests in progress per slot of the pool.
	Occupancy float64
	// Asked is the work asked for here, as a multiple of what the daemon's share of the slots
	// can do.
	Asked float64
	// Delay is the average latency of recent answers as a share of their targets.
	Delay float64
	// Share is the share of such flows that is refused.
	Share float64
}

// Controller decides for one daemon. It is safe for concurrent use.
type Controller struct {
	fleet Fleet

	mu     sync.Mutex
	random *rand.Rand
	pools  map[string]*pool
}

// pool is the state of one pool in which routes compete.
type pool struct {
	routes map[string]*routeState // by name
	level  float64
	// share is the daemon's share of the slots, and occupancy the pool's requests in
	// progress per slot, both as of observedAt.
	share, occupancy       float64
	observedAt, adjustedAt time.Time
	// refused is set if a flow was refused since adjustedAt.
	refused bool
	delay   float64
	delayAt time.Time
	// asked is the work asked for, in seconds per second.
	asked work
	// busyUntil is the end of calmTime after the servers were last busy.
	busyUntil time.Time
	callers   callers
}

// routeState is the state of a route in one pool.
type routeState struct {
	priority int
	target   time.Duration
	// serviceTime is the average time of an answer while slots are free, in seconds; zero
	// before the first answer.
	serviceTime float64
	// askedAt is when the last new flow came.
	askedAt  time.Time
	requests recent
	// average is the average number of requests in progress up to averagedAt.
	average    float64
	averagedAt time.Time
	// refused and admitted count flows.
	refused, admitted int64
}

// New returns a Controller that admits everything until Apply has been called. The seed must
// differ between daemons, so that they do not refuse in step.
func New(fleet Fleet, seed uint64) *Controller {
	return &Controller{fleet: fleet, random: rand.New(rand.NewPCG(seed, 0)), pools: map[string]*pool{}}
}

// Apply switches the decisions on for the pools in which the configuration calls for
// them: those with routes of different priorities that have target latencies.
func (c *Controller) Apply(config *directory.Config) {
	competing, routes := competingPools(config), map[string]bool{}
	for i := range config.Routes {
		routes[config.Routes[i].Name] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.pools {
		if !competing[name] {
			delete(c.pools, name)
		}
	}
	for name := range competing {
		if c.pools[name] == nil {
			c.pools[name] = &pool{routes: map[string]*routeState{}, level: initialLevel}
		}
	}
	for _, p := range c.pools {
		maps.DeleteFunc(p.routes, func(name string, r *routeState) bool { return !routes[name] })
	}
}

// competingPools returns the pools with routes of different priorities.
func competingPools(config *directory.Config) map[string]bool {
	priorities, out := map[string]int{}, map[string]bool{}
	for i := range config.Routes {
		r := &config.Routes[i]
		if r.TargetLatency <= 0 {
			continue
		}
		for _, s := range r.Shares {
			if known, ok := priorities[s.Pool]; ok && known != r.Priority {
				out[s.Pool] = true
			}
			priorities[s.Pool] = r.Priority
		}
	}
	return out
}

// Admit decides about a new flow. The caller has to call Begin for an admitted one.
func (c *Controller) Admit(r Request) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.pools[r.Pool]
	if p == nil || r.Route.TargetLatency <= 0 || len(r.Candidates) == 0 {
		return Decision{}
	}
	if r.Now.Sub(p.observedAt) >= observeInterval {
		p.observe(c.fleet, r.Candidates, r.Now)
	}
	limit := p.level * p.share
	d := Decision{InProgress: p.inProgress(math.MaxInt, r.Now), Limit: limit, Occupancy: p.occupancy, Asked: p.asked.rate(r.Now) / p.share, Delay: p.delay}
	route := p.route(r.Route)
	route.askedAt = r.Now
	p.asked.add(route.serviceTime, r.Now)
	excess := p.callers.ask(r.Caller, r.Now)
	if r.Now.Before(p.busyUntil) && route.averageAt(r.Now) >= keptShare*limit {
		d.Share = p.refusedShare(r.Route.Priority, limit, r.Now)
		if d.Share > 0 {
			d.Share = 1 - (1-d.Share)/excess
		}
		d.Refused = d.Share > 0 && c.random.Float64() < d.Share
	}
	if d.Refused {
		p.refused = true
		route.refused++
	} else {
		route.admitted++
	}
	return d
}

// observe updates what the daemon knows of the pool and, once per adjustInterval, the
// limit.
func (p *pool) observe(fleet Fleet, candidates []*directory.Server, now time.Time) {
	p.observedAt = now
	o := fleet.Occupancy(candidates, now)
	p.share = max(1, float64(o.Slots)/float64(max(1, fleet.Daemons(now))))
	p.occupancy = float64(max(o.InProgress, 0)) / float64(max(1, o.Daemons)) / p.share
	if now.Sub(p.delayAt) > delayTTL {
		p.delay = 0
	}
	asked := p.asked.rate(now) / p.share
	switch {
	case now.Before(p.busyUntil) && p.occupancy >= freeLevel && asked >= overloadEnd,
		p.occupancy >= busyLevel && asked >= overload,
		p.occupancy >= fullLevel && p.delay >= tooLate:
		p.busyUntil = now.Add(calmTime)
	}
	if now.Sub(p.adjustedAt) < adjustInterval {
		return
	}
	switch {
	case !now.Before(p.busyUntil):
		p.level = max(p.level, min(initialLevel, p.level+levelIncrease))
	case p.delay > lateDelay:
		// A limit far below what open flows bring has no effect, and would last too long.
		open := windup * float64(p.inProgress(math.MaxInt, now)) / p.share
		p.level = min(p.level, max(minLevel, open, p.level*levelDecrease))
	case p.delay < timelyDelay && p.refused:
		p.level = min(maxLevel, p.level+levelIncrease)
	}
	p.refused, p.adjustedAt = false, now
}

// refusedShare returns the share of the flows of a priority that is refused. Only requests
// that are at least as urgent count: where flows that are open already bring more than
// fits, servers reject part of it and callers close such flows, which makes the room that a
// more urgent route needs.
func (p *pool) refusedShare(priority int, limit float64, now time.Time) float64 {
	for _, r := range p.routes {
		if r.priority > priority && now.Sub(r.askedAt) < activeTime {
			limit = urgentLevel * p.share
		}
	}
	filled := float64(p.inProgress(priority, now)) / limit
	return min(1, max(0, (filled-rampStart)/(rampEnd-rampStart)))
}

// inProgress returns the number of recent requests in progress of routes that are at least
// as urgent as a priority.
func (p *pool) inProgress(priority int, now time.Time) int {
	n := 0
	for _, r := range p.routes {
		if r.priority <= priority {
			n += r.requests.total(now, r.target)
		}
	}
	return n
}

func (p *pool) route(route *directory.Route) *routeState {
	r := p.routes[route.Name]
	if r == nil {
		r = &routeState{}
		p.routes[route.Name] = r
	}
	r.priority, r.target = route.Priority, route.TargetLatency
	return r
}

// averageAt updates the average and returns it.
func (r *routeState) averageAt(now time.Time) float64 {
	if d := now.Sub(r.averagedAt); d > 0 {
		w := 1.0
		if !r.averagedAt.IsZero() {
			w = 1 - math.Exp(-d.Seconds()/averageTime.Seconds())
		}
		r.average += w * (float64(r.requests.total(now, r.target)) - r.average)
		r.averagedAt = now
	}
	return r.average
}
