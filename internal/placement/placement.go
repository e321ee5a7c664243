// Package placement chooses the backend server for a new flow. It estimates on
// which server the request finishes first, from the requests that this daemon
// and its peers have in progress, the speeds learned from finished requests, and
// the servers and zones that do not answer.
//
// It never refuses a flow because of load or pace: Choose returns nil only if there are
// no candidates, or if all of them are cold and at their configured limits.
package placement

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/pace"
)

// Costs that are added to a server's expected latency.
const (
	// crossZoneCost applies to servers outside the daemon's own zone. It covers
	// two round trips between zones and the price of cross-zone traffic.
	crossZoneCost = 6 * time.Millisecond
	// suspicionPenalty makes a suspected server or zone the last choice.
	suspicionPenalty = 10 * time.Second
)

// Request describes a new flow.
type Request struct {
	Route *directory.Route
	// Candidates are the servers of the route's pool that take new flows.
	Candidates []*directory.Server
	// Avoid is the cookie of a server that has already failed to answer this flow;
	// zero if there is none.
	Avoid directory.Cookie
	// ColdPerSecond is the limit on the new flows of each cold server; zero if there is none.
	ColdPerSecond float64
	// Now is the current time.
	Now time.Time
}

// Placer chooses servers. It is safe for concurrent use.
type Placer struct {
	zone string

	mu           sync.Mutex
	random       *rand.Rand
	servers      map[directory.Cookie]*serverState
	zones        map[string]*suspicion
	serviceTimes map[string]time.Duration // average, by route name
	peers        map[string]*peerLoad
	// unreachableZones holds the last results of unreachable, to detect changes.
	unreachableZones map[string]bool

	onChange          func()
	onAvoidanceChange func(AvoidanceChange)
	unreachable       func(zone string, now time.Time) bool
	pacer             *pace.Pacer
	directoryAge      func(now time.Time) time.Duration

	outliers *outliers
	// failed are the failed requests that count as in progress.
	failed []failedRequest
}

// serverState is the state of one backend server.
type serverState struct {
	// zone is the server's availability zone, empty until the server was a candidate.
	zone string
	// inProgress and peerInProgress are the numbers of requests in progress that
	// this daemon and its peers have placed.
	inProgress     int
	peerInProgress int
	// suspectingPeers is the number of peers that suspect the server.
	suspectingPeers int
	// lastAnswer is when the server last accepted a flow of this daemon.
	lastAnswer time.Time
	// slowness is the learned ratio of the server's service time to the average of
	// the route.
	slowness  float64
	slowRetry slowRetry
	// started identifies the process that slowness was learned from.
	started int64
	suspicion
}

// New returns a Placer for a daemon in a zone. The seed is used to break ties and
// must differ between daemons.
func New(zone string, seed uint64) *Placer {
	p := &Placer{
		zone: zone, random: rand.New(rand.NewPCG(seed, 0)), servers: map[directory.Cookie]*serverState{}, zones: map[string]*suspicion{},
		serviceTimes: map[string]time.Duration{}, peers: map[string]*peerLoad{}, unreachableZones: map[string]bool{},
		onChange: func() {}, onAvoidanceChange: func(AvoidanceChange) {}, unreachable: func(string, time.Time) bool { return false },
		outliers: newOutliers(),
	}
	p.SetPace(PaceOptions{DirectoryAge: func(time.Time) time.Duration { return 0 }})
	return p
}

// OnChange sets the function to call when the number of requests in progress has
// changed. It must be set before the first flow. fn runs with the Placer's lock
// held and must not call the Placer.
func (p *Placer) OnChange(fn func()) { p.onChange = fn }

// SetUnreachableFunc sets the function that reports whether another zone is
// probably unreachable. It must be set before the first flow.
func (p *Placer) SetUnreachableFunc(fn func(zone string, now time.Time) bool) { p.unreachable = fn }

// state returns the state of a server, which it creates if needed.
func (p *Placer) state(c directory.Cookie) *serverState {
	s := p.servers[c]
	if s == nil {
		s = &serverState{slowness: 1}
		p.servers[c] = s
	}
	return s
}

// Choose returns the candidate with the lowest cost and a ticket for the flow, or
// nil if there are no candidates that take a flow. Ties are broken at random, so that
// daemons that have learned nothing yet spread their flows.
func (p *Placer) Choose(r Request) (*directory.Server, *Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeFailed(r.Now)
	p.outliers.judge(r.Candidates, r.Now)
	var best *directory.Server
	bestCost, ties := math.Inf(1), 0
	e := estimator{placer: p, request: r, serviceTime: p.serviceTime(r.Route.Name).Seconds(), zoneCosts: map[string]float64{}, pace: p.paceRules(r)}
	for _, s := range r.Candidates {
		if !e.mayPlace(s) {
			continue
		}
		cost := e.cost(s)
		switch {
		case cost < bestCost:
			best, bestCost, ties = s, cost, 1
		case cost == bestCost:
			ties++
			if p.random.IntN(ties) == 0 {
				best = s
			}
		}
	}
	if best == nil {
		return nil, nil
	}
	trial := p.trialServer(r, &e)
	if trial != nil {
		best, bestCost = trial, e.cost(trial)
	}
	ticket := p.open(best, r, time.Duration(bestCost*float64(time.Second)))
	ticket.trial = trial != nil
	p.pacer.Placed(best, r.Now)
	return best, ticket
}

// estimator estimates the costs of the candidates for one flow. What does not differ
// between servers, or between those of a zone, is determined once.
type estimator struct {
	placer  *Placer
	request Request
	// serviceTime is the average of the route in seconds.
	serviceTime float64
	zoneCosts   map[string]float64
	pace        paceRules
}

// cost returns the expected time in seconds until the request finishes on a server, plus
// the penalties for servers and zones to avoid.
func (e *estimator) cost(s *directory.Server) float64 {
	p, now := e.placer, e.request.Now
	rec := p.state(s.Cookie)
	rec.zone = s.Zone
	if rec.started != s.Started {
		rec.started, rec.slowness = s.Started, 1
	}
	slowness := rec.slowness
	if s.Cold(now) && !p.pacer.Enabled() {
		slowness = max(slowness, coldSlowness)
	}
	cost := slowness*queueFactor(rec, s)*e.serviceTime + e.zoneCost(s.Zone) + p.outliers.penalty(s, e.request.Route)
	if p.serverAvoided(s.Cookie, rec, now) || s.Cookie == e.request.Avoid {
		return cost + suspicionPenalty.Seconds()
	}
	if cost >= suspicionPenalty.Seconds() {
		return cost // the zone is to be avoided
	}
	return e.paced(s, rec, cost)
}

// zoneCost returns the cost of a zone's distance, and the penalty if it is to be avoided.
func (e *estimator) zoneCost(zone string) float64 {
	if zone == e.placer.zone {
		return 0
	}
	cost, ok := e.zoneCosts[zone]
	if !ok {
		cost = crossZoneCost.Seconds()
		if e.placer.zoneAvoided(zone, e.request.Now) {
			cost += suspicionPenalty.Seconds()
		}
		e.zoneCosts[zone] = cost
	}
	return cost
}

// queueFactor returns the expected time in the server, queueing included, as a
// multiple of the service time. It is 1 while a slot is free.
func queueFactor(rec *serverState, s *directory.Server) float64 {
	busy := rec.inProgress + rec.peerInProgress
	if busy < s.Slots {
		return 1
	}
	return 1 + float64(busy-s.Slots+1)/float64(s.Slots)
}

// Prune deletes the state of servers that are no longer in the directory.
func (p *Placer) Prune(d *directory.Directory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.servers {
		if d.ByCookie(c) == nil {
			delete(p.servers, c)
		}
	}
	p.outliers.prune(d)
}
