package placement

import (
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
)

// Ticket is the account of one flow at a server, from its first packet until
// its end.
type Ticket struct {
	server directory.Cookie
	zone   string
	route  string
	// asked is when the request was passed to the server.
	asked time.Time
	// queue is the expected time in the server as a multiple of the work, when
	// the flow was placed.
	queue    float64
	expected time.Duration
	answered bool
	closed   bool
}

// ExpectedLatency returns the time until the response that the placement assumed.
func (t *Ticket) ExpectedLatency() time.Duration { return t.expected }

// Server returns the cookie of the flow's server.
func (t *Ticket) Server() directory.Cookie { return t.server }

// open begins an account. p.mu is held.
func (p *Placer) open(s *directory.Server, r Request, expected time.Duration) *Ticket {
	rec := p.server(s.Cookie)
	t := &Ticket{server: s.Cookie, zone: s.Zone, route: r.Route.Name, queue: queue(rec, s), expected: expected}
	rec.working++
	rec.waitFor(r.Now)
	if s.Zone != p.zone {
		p.zoneSilence(s.Zone).waitFor(r.Now)
	}
	p.onChange()
	return t
}

// MarkRequestSent notes that the flow's request was passed to the server.
func (p *Placer) MarkRequestSent(t *Ticket, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.asked.IsZero() {
		t.asked = now
	}
	p.heard(t, now)
}

// MarkAnswered notes a packet which shows that the server has answered.
func (p *Placer) MarkAnswered(t *Ticket, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard(t, now)
}

func (p *Placer) heard(t *Ticket, now time.Time) {
	if t.answered {
		return
	}
	t.answered = true
	rec := p.server(t.server)
	rec.heard = now
	if rec.answer() {
		p.onBelief(AvoidanceChange{Server: t.server})
	}
	if t.zone != p.zone && p.zoneSilence(t.zone).answer() {
		p.onBelief(AvoidanceChange{Zone: t.zone})
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
	p.work[t.route] = max(time.Millisecond, time.Duration(float64(work)*(1+workGain*(sample/rec.slowness-1))))
	rec.slowness = min(maxSlowness, max(minSlowness, rec.slowness+speedGain*(sample-rec.slowness)))
}

func (p *Placer) workOf(route string) time.Duration {
	if w, ok := p.work[route]; ok {
		return w
	}
	return initialWork
}
