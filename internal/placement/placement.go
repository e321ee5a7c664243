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

// Constants of the estimates.
const (
	// initialWork is the assumed time of a request before one has ended.
	initialWork = 30 * time.Millisecond
	// speedGain and workGain are the weights of one finished request in the
	// moving averages of a server's slowness and of a route's work.
	speedGain = 0.15
	workGain  = 0.03
	// A single request changes the averages as if it had taken between these
	// multiples of the expected time: requests of one route differ widely.
	leastSample, mostSample = 0.1, 8.0
	// minSlowness and maxSlowness bound what is learned of one server.
	minSlowness, maxSlowness = 0.2, 10.0
	// coldSlowness is assumed while a server reports that it is cold.
	coldSlowness = 1.6
	// otherZoneCost is the preference for servers of the daemon's own zone: two
	// round trips between zones, and the price of the bytes that cross.
	otherZoneCost = 6 * time.Millisecond
)

// Times of suspicion.
const (
	// answerGrace is how long a server may take to accept a flow. It does so
	// in its network stack, within two round trips.
	answerGrace = 80 * time.Millisecond
	// firstSuspicion and longestSuspicion bound for how long a server that has
	// not answered is avoided; the time doubles with each failed trial.
	firstSuspicion   = 500 * time.Millisecond
	longestSuspicion = 4 * time.Second
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

// Ticket is the account of one flow at a server, from its first packet until
// its end.
type Ticket struct {
	server directory.Cookie
	zone   string
	route  string
	opened time.Time
	asked  time.Time
	// queue is the expected time in the server as a multiple of the work, when
	// the flow was placed.
	queue    float64
	answered bool
	closed   bool
}

// Server returns the cookie of the flow's server.
func (t *Ticket) Server() directory.Cookie { return t.server }

// Placer chooses servers. It is safe for concurrent use.
type Placer struct {
	zone string

	mu      sync.Mutex
	servers map[directory.Cookie]*server
	zones   map[string]*silence
	work    map[string]time.Duration // by route
	peers   map[string]*peerLoad

	onChange    func()
	unreachable func(zone string, now time.Time) bool
}

// OnChange sets what is called after the requests in progress have changed. Call
// it before the first flow.
func (p *Placer) OnChange(fn func()) { p.onChange = fn }

// SetUnreachable sets what tells that another zone is probably cut off. Call it
// before the first flow.
func (p *Placer) SetUnreachable(fn func(zone string, now time.Time) bool) { p.unreachable = fn }

// server is what is known of one backend server.
type server struct {
	// working are the requests in progress that this daemon has placed.
	working int
	// remote are those of the peers.
	remote   int
	slowness float64
	started  int64
	silence
}

// New returns a Placer for a daemon in a zone.
func New(zone string) *Placer {
	return &Placer{
		zone: zone, servers: map[directory.Cookie]*server{}, zones: map[string]*silence{},
		work: map[string]time.Duration{}, peers: map[string]*peerLoad{},
		onChange: func() {}, unreachable: func(string, time.Time) bool { return false },
	}
}

func (p *Placer) server(c directory.Cookie) *server {
	s := p.servers[c]
	if s == nil {
		s = &server{slowness: 1}
		p.servers[c] = s
	}
	return s
}

func (p *Placer) zoneSilence(zone string) *silence {
	z := p.zones[zone]
	if z == nil {
		z = &silence{}
		p.zones[zone] = z
	}
	return z
}

// Choose returns the server on which the request is expected to end first, and
// opens its account. It returns nil if there is no candidate.
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
			if rand.IntN(ties) == 0 {
				best = s
			}
		}
	}
	if best == nil {
		return nil, nil
	}
	rec := p.server(best.Cookie)
	t := &Ticket{server: best.Cookie, zone: best.Zone, route: r.Route.Name, opened: r.Now, queue: queue(rec, best)}
	rec.working++
	p.onChange()
	rec.waitFor(r.Now)
	if best.Zone != p.zone {
		p.zoneSilence(best.Zone).waitFor(r.Now)
	}
	return best, t
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
		if p.zoneSilence(s.Zone).suspected(r.Now) || p.unreachable(s.Zone, r.Now) {
			cost += suspicionCost.Seconds()
		}
	}
	if rec.suspected(r.Now) || s.Cookie == r.Avoid {
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

func (p *Placer) workOf(route string) time.Duration {
	if w, ok := p.work[route]; ok {
		return w
	}
	return initialWork
}

// Asked notes that the flow's request was passed to the server.
func (p *Placer) Asked(t *Ticket, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.asked.IsZero() {
		t.asked = now
	}
	p.heard(t, now)
}

// Heard notes a packet which shows that the server has answered.
func (p *Placer) Heard(t *Ticket, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard(t, now)
}

func (p *Placer) heard(t *Ticket, now time.Time) {
	if !t.answered {
		t.answered = true
		p.server(t.server).answer(now)
		if t.zone != p.zone {
			p.zoneSilence(t.zone).answer(now)
		}
	}
}

// Done ends the account of a flow whose response has arrived.
func (p *Placer) Done(t *Ticket, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.closed {
		return
	}
	p.heard(t, now)
	p.close(t)
	if !t.asked.IsZero() {
		p.learn(t, now.Sub(t.asked))
	}
}

// Abandon ends the account of a flow that brought no response.
func (p *Placer) Abandon(t *Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.close(t)
}

func (p *Placer) close(t *Ticket) {
	if t.closed {
		return
	}
	t.closed = true
	if rec := p.servers[t.server]; rec != nil && rec.working > 0 {
		rec.working--
		p.onChange()
	}
}

// learn corrects the averages by one finished request.
func (p *Placer) learn(t *Ticket, took time.Duration) {
	rec := p.server(t.server)
	work, known := p.work[t.route]
	if !known {
		p.work[t.route] = max(time.Millisecond, time.Duration(float64(took)/t.queue))
		return
	}
	sample := took.Seconds() / t.queue / work.Seconds()
	sample = min(mostSample, max(leastSample, sample))
	p.work[t.route] = time.Duration(float64(work) * (1 + workGain*(sample/rec.slowness-1)))
	rec.slowness = min(maxSlowness, max(minSlowness, rec.slowness+speedGain*(sample-rec.slowness)))
}

// Keep forgets the servers that are not in the directory any more.
func (p *Placer) Keep(d *directory.Directory) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.servers {
		if d.ByCookie(c) == nil {
			delete(p.servers, c)
		}
	}
}
