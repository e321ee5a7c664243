package placement

import (
	"slices"
	"time"

	"knapweedshore.example/internal/directory"
)

// Parameters of the latency estimates.
const (
	// initialServiceTime is the service time assumed for a route until one of its
	// requests has finished.
	initialServiceTime = 30 * time.Millisecond
	// slownessGain and serviceTimeGain are the weights of one finished request in
	// the moving averages of a server's slowness and a route's service time.
	slownessGain    = 0.15
	serviceTimeGain = 0.03
	// minSample and maxSample clamp the ratio of a request's measured to its
	// expected time, because requests of one route differ widely.
	minSample, maxSample = 0.1, 8.0
	// minSlowness and maxSlowness bound the estimate for one server.
	minSlowness, maxSlowness = 0.2, 10.0
	// coldSlowness is the minimum slowness assumed while a server reports that it
	// is cold, in a fleet too small for paces.
	coldSlowness = 1.6
)

// Ticket tracks one flow on a server from its opening packet until the response
// arrives or the flow is abandoned.
type Ticket struct {
	server directory.Cookie
	zone   string
	route  string
	// requestSentAt is when the request was forwarded to the server; zero before.
	requestSentAt time.Time
	// queueFactor is the result of queueFactor when the flow was placed.
	queueFactor float64
	// expected is the estimated time until the response, and usual the time that the request
	// takes once it has been sent.
	expected, usual time.Duration
	// timely is the time within which the answer counts as timely.
	timely   time.Duration
	answered bool
	closed   bool
	// trial is set if the flow tries whether a failing server has recovered.
	trial bool
}

// ExpectedLatency returns the time until the response that was estimated when the
// flow was placed.
func (t *Ticket) ExpectedLatency() time.Duration { return t.expected }

// Trial reports whether the flow tries whether a failing server has recovered.
func (t *Ticket) Trial() bool { return t.trial }

// Server returns the cookie of the flow's server.
func (t *Ticket) Server() directory.Cookie { return t.server }

// open creates the ticket of a new flow. p.mu must be held.
func (p *Placer) open(s *directory.Server, r Request, expected time.Duration) *Ticket {
	rec := p.state(s.Cookie)
	t := p.newTicket(s, rec, r.Route)
	t.expected = expected
	rec.inProgress++
	rec.recordFlowOpened(r.Now)
	if s.Zone != p.zone {
		p.zoneSuspicion(s.Zone).recordFlowOpened(r.Now)
	}
	p.onChange()
	return t
}

// Resume returns the ticket of a further request on a flow that server s has accepted.
func (p *Placer) Resume(s *directory.Server, r *directory.Route, now time.Time) *Ticket {
	p.mu.Lock()
	defer p.mu.Unlock()
	rec := p.state(s.Cookie)
	t := p.newTicket(s, rec, r)
	rec.inProgress++
	p.onChange()
	t.answered, t.requestSentAt = true, now
	return t
}

// newTicket returns the ticket of a request. p.mu must be held.
func (p *Placer) newTicket(s *directory.Server, rec *serverState, r *directory.Route) *Ticket {
	t := &Ticket{server: s.Cookie, zone: s.Zone, route: r.Name, queueFactor: queueFactor(rec, s), timely: timelyTime(r)}
	t.usual = time.Duration(rec.slowness * t.queueFactor * float64(p.serviceTime(r.Name)))
	return t
}

// MarkRequestSent records that the flow's request was forwarded to the server,
// which must have accepted the flow.
func (p *Placer) MarkRequestSent(t *Ticket, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.requestSentAt.IsZero() {
		t.requestSentAt = now
	}
	p.markAnswered(t, now)
}

// MarkAnswered records a packet that shows that the server has accepted the flow.
func (p *Placer) MarkAnswered(t *Ticket, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markAnswered(t, now)
}

// markAnswered is MarkAnswered with p.mu held.
func (p *Placer) markAnswered(t *Ticket, now time.Time) {
	if t.answered {
		return
	}
	t.answered = true
	rec := p.state(t.server)
	rec.lastAnswer = now
	if rec.suspectedFor > initialSuspicion { // a trial has failed, so that not only one packet was lost
		p.recordEndOfSilence(t, rec, now)
	}
	if rec.recordAnswer() {
		p.onAvoidanceChange(AvoidanceChange{Server: t.server})
	}
	if t.zone != p.zone && p.zoneSuspicion(t.zone).recordAnswer() {
		p.onAvoidanceChange(AvoidanceChange{Zone: t.zone})
	}
}

// Done closes the ticket of a flow whose response has arrived and updates the
// averages. It does nothing if the ticket is closed already.
func (p *Placer) Done(t *Ticket, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.closed {
		return
	}
	p.markAnswered(t, now)
	p.close(t)
	if !t.requestSentAt.IsZero() {
		p.updateAverages(t, now)
	}
}

// Abandon closes the ticket of a flow that got no response.
func (p *Placer) Abandon(t *Ticket) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.close(t)
}

// Fail closes the ticket of a flow whose server has not answered in time, or has failed the
// request. A request that has failed earlier than usual counts as in progress for its usual
// time, since a server that fails at once would otherwise seem to be free and draw flows. The
// averages do not change.
func (p *Placer) Fail(t *Ticket, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.closed {
		return
	}
	p.pacer.Failed(t.server, now)
	until := t.requestSentAt.Add(t.usual)
	if t.requestSentAt.IsZero() || !now.Before(until) {
		p.close(t)
		return
	}
	p.failed = append(p.failed, failedRequest{t, until})
}

// failedRequest is a request that its server has failed and that counts as in progress.
type failedRequest struct {
	ticket *Ticket
	until  time.Time
}

// closeFailed closes the tickets of failed requests whose usual time is over.
func (p *Placer) closeFailed(now time.Time) {
	p.failed = slices.DeleteFunc(p.failed, func(f failedRequest) bool {
		over := !now.Before(f.until)
		if over {
			p.close(f.ticket)
		}
		return over
	})
}

func (p *Placer) close(t *Ticket) {
	if t.closed {
		return
	}
	t.closed = true
	if rec := p.servers[t.server]; rec != nil && rec.inProgress > 0 {
		rec.inProgress--
		p.onChange()
	}
}

// updateAverages adds a finished request to the averages of its route and server.
func (p *Placer) updateAverages(t *Ticket, now time.Time) {
	took := now.Sub(t.requestSentAt)
	rec := p.state(t.server)
	serviceTime, known := p.serviceTimes[t.route]
	if !known {
		p.serviceTimes[t.route] = max(time.Millisecond, time.Duration(float64(took)/t.queueFactor))
		p.recordPace(t, rec, 1, now)
		return
	}
	sample := took.Seconds() / t.queueFactor / serviceTime.Seconds()
	sample = min(maxSample, max(minSample, sample))
	p.serviceTimes[t.route] = max(time.Millisecond, time.Duration(float64(serviceTime)*(1+serviceTimeGain*(sample/rec.slowness-1))))
	rec.slowness = min(maxSlowness, max(minSlowness, rec.slowness+slownessGain*(sample-rec.slowness)))
	p.recordPace(t, rec, sample, now)
}

// serviceTime returns the average service time of a route's requests on a server
// of slowness 1.
func (p *Placer) serviceTime(route string) time.Duration {
	if t, ok := p.serviceTimes[route]; ok {
		return t
	}
	return initialServiceTime
}
