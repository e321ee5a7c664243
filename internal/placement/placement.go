// Package placement decides which backend server gets a new flow, from the
// flows that this daemon and its peers have in progress, the speeds that were
// learned from finished requests, and the servers and zones that do not answer.
//
// It answers for the load that a pool can serve: the aim is that a request ends
// as early as possible. Refusing is left to the caller, when no server is left.
package placement

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"knapweedshore.example/internal/directory"
)

// Costs in expected time.
const (
	// otherZoneCost is the preference for servers of the daemon's own zone: two
	// round trips between zones, and the price of the bytes that cross.
	otherZoneCost = 6 * time.Millisecond
	// suspicionCost makes a suspected server the last choice.
	suspicionCost = 10 * time.Second
)

// Request describes a new flow.
type Request struct {
	Route *directory.Route
	// Candidates are the servers of the route's pool that take new flows.
	Candidates []*directory.Server
	// Avoid is a server that has already failed to answer this flow.
	Avoid directory.Cookie
	Now   time.Time
}

// Placer chooses servers. It is safe for concurrent use.
type Placer struct {
	zone string

	mu      sync.Mutex
	random  *rand.Rand
	servers map[directory.Cookie]*server
	zones   map[string]*silence
	work    map[string]time.Duration // by route
	peers   map[string]*peerLoad
	// cutOff are the zones that unreachable named last.
	cutOff map[string]bool

	onChange    func()
	onBelief    func(AvoidanceChange)
	unreachable func(zone string, now time.Time) bool
}

// server is what is known of one backend server.
type server struct {
	// working are the requests in progress that this daemon has placed.
	working int
	// remote are those of the peers.
	remote int
	// suspectedBy is how many peers suspect the server, heard when it last
	// accepted a flow of this daemon.
	suspectedBy int
	heard       time.Time
	// slowness multiplies the work of a route.
	slowness float64
	// started tells whether the server is still the process that was learned.
	started int64
	silence
}

// New returns a Placer for a daemon in a zone. The seed determines how ties are
// broken; daemons need different ones.
func New(zone string, seed uint64) *Placer {
	return &Placer{
		zone: zone, random: rand.New(rand.NewPCG(seed, 0)), servers: map[directory.Cookie]*server{}, zones: map[string]*silence{},
		work: map[string]time.Duration{}, peers: map[string]*peerLoad{}, cutOff: map[string]bool{},
		onChange: func() {}, onBelief: func(AvoidanceChange) {}, unreachable: func(string, time.Time) bool { return false },
	}
}

// OnChange sets what is called after the requests in progress have changed. Call
// it before the first flow.
func (p *Placer) OnChange(fn func()) { p.onChange = fn }

// SetUnreachableFunc sets what tells that another zone is probably cut off. Call it
// before the first flow.
func (p *Placer) SetUnreachableFunc(fn func(zone string, now time.Time) bool) { p.unreachable = fn }

func (p *Placer) server(c directory.Cookie) *server {
	s := p.servers[c]
	if s == nil {
		s = &server{slowness: 1}
		p.servers[c] = s
	}
	return s
}

// Choose returns the server on which the request is expected to end first, and
// opens its account. It returns nil if there is no candidate. Ties are broken
// at random, so that daemons that know nothing spread their flows.
func (p *Placer) Choose(r Request) (*directory.Server, *Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best *directory.Server
	bestCost, ties := math.Inf(1), 0
	for _, s := range r.Candidates {
		cost := p.cost(s, r)
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
	return best, p.open(best, r, time.Duration(bestCost*float64(time.Second)))
}

// cost is the expected time in seconds until the request ends.
func (p *Placer) cost(s *directory.Server, r Request) float64 {
	rec := p.server(s.Cookie)
	if rec.started != s.Started {
		rec.started, rec.slowness = s.Started, 1
	}
	slowness := rec.slowness
	if s.Cold(r.Now) {
		slowness = max(slowness, coldSlowness)
	}
	cost := slowness * queue(rec, s) * p.workOf(r.Route.Name).Seconds()
	if s.Zone != p.zone {
		cost += otherZoneCost.Seconds()
		if p.zoneAvoided(s.Zone, r.Now) {
			cost += suspicionCost.Seconds()
		}
	}
	if p.serverAvoided(s.Cookie, rec, r.Now) || s.Cookie == r.Avoid {
		cost += suspicionCost.Seconds()
	}
	return cost
}

// queue is the expected time in the server as a multiple of the work of one
// request: 1 while a slot is free.
func queue(rec *server, s *directory.Server) float64 {
	ahead := rec.working + rec.remote
	if ahead < s.Slots {
		return 1
	}
	return 1 + float64(ahead-s.Slots+1)/float64(s.Slots)
}

// Prune forgets the servers that are not in the directory any more.
func (p *Placer) Prune(d *directory.Directory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.servers {
		if d.ByCookie(c) == nil {
			delete(p.servers, c)
		}
	}
}
