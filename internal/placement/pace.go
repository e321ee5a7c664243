package placement

import (
	"net/netip"
	"time"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/evidence"
	"knapweedshore.example/internal/pace"
)

const (
	// timelyFraction is the part of a route's target latency within which an answer counts
	// as timely: the rest is left for the network and for the requests that the server
	// gets next.
	timelyFraction = 0.5
	// defaultTarget is the target latency assumed for routes that set none.
	defaultTarget = 200 * time.Millisecond
	// maxPacedShare is the greatest part of a pool's slots whose servers may be paced. If
	// there are more, the others could not carry the load, and no server is paced.
	maxPacedShare = 0.5
	// slowServer is the slowness from which a server is tried again when it has answered
	// nothing for minSlowRetry, since it would get too few flows to show that it is well.
	// The time doubles with each trial up to maxSlowRetry. The server is well if
	// wellAnswers answers in a row show a slowness of at most wellServer.
	slowServer   = 3.0
	wellServer   = 1.5
	wellAnswers  = 2
	minSlowRetry = 2 * time.Second
	maxSlowRetry = 16 * time.Second
)

// slowRetry decides when a server that seems slow is tried again.
type slowRetry struct {
	// lastAnswer is when the last answer was added to the server's slowness.
	lastAnswer time.Time
	// interval is the time without answers after which the server is tried.
	interval time.Duration
	// well is the number of answers in a row that show that the server is well.
	well int
}

// isDue reports whether to try the server, which must seem slow.
func (r *slowRetry) isDue(now time.Time) bool { return r.well > 0 || r.isOver(now) }

// isOver reports whether the server has answered nothing for the interval.
func (r *slowRetry) isOver(now time.Time) bool {
	return now.Sub(r.lastAnswer) >= max(minSlowRetry, r.interval)
}

// recordAnswer records an answer of a server that seems slow. It reports whether the server
// is well.
func (r *slowRetry) recordAnswer(sample float64, now time.Time) bool {
	tried := r.isOver(now)
	r.lastAnswer = now
	if sample > wellServer {
		r.well = 0
		if tried {
			r.interval = min(maxSlowRetry, 2*max(minSlowRetry, r.interval))
		}
		return false
	}
	r.well++
	return r.well >= wellAnswers
}

// PaceOptions configures the paces of servers.
type PaceOptions struct {
	// Self is the peer address of this daemon.
	Self netip.Addr
	// MaxDirectoryAge is the age up to which a directory may be used to share out limits,
	// and DirectoryAge returns the present age.
	MaxDirectoryAge time.Duration
	DirectoryAge    func(now time.Time) time.Duration
	// OnChange is called when a server begins or ceases to be paced. It runs with the
	// Placer's lock held and must not call the Placer.
	OnChange func(pace.Change)
}

// SetPace makes the Placer pace servers that start or recover, and keep the limits of cold
// ones. It must be called before the first directory.
func (p *Placer) SetPace(o PaceOptions) {
	p.directoryAge = o.DirectoryAge
	p.pacer = pace.New(pace.Options{Self: o.Self, Zone: p.zone, Random: p.random, MaxAge: o.MaxDirectoryAge, OnChange: o.OnChange})
}

// Apply follows a new directory.
func (p *Placer) Apply(d *directory.Directory) { p.applyAt(d, time.Now()) }

func (p *Placer) applyAt(d *directory.Directory, now time.Time) {
	p.Prune(d)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pacer.Apply(d, now)
}

// PacedServers returns the names of the servers that are paced.
func (p *Placer) PacedServers(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pacer.Paced(now)
}

// AddTo implements evidence.Source.
func (p *Placer) AddTo(r *evidence.Report, _ bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.Paces = append(r.Paces, p.pacer.Rows(now)...)
}

// Record implements evidence.Source. A server that recovers according to a peer gets flows
// of this daemon as its pace allows, whatever this daemon knew of it before.
func (p *Placer) Record(_ evidence.Peer, r evidence.Report, sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, row := range r.Paces {
		if !p.pacer.Merge(row, sentAt) {
			continue
		}
		rec := p.state(row.Server)
		rec.suspectedUntil = time.Time{}
		rec.slowness = min(rec.slowness, wellServer)
	}
}

// recordEndOfSilence records that a server accepts flows after a suspicion. The server's
// pace begins anew only if the server was silent and not the network to it: the daemon is in
// its zone, a peer has suspected it too, and most servers of the zone have answered meanwhile.
func (p *Placer) recordEndOfSilence(t *Ticket, rec *serverState, now time.Time) {
	if t.zone != p.zone || rec.suspectingPeers == 0 {
		return
	}
	suspected, all := 0, 0
	for _, s := range p.servers {
		if s.zone != p.zone {
			continue
		}
		all++
		if s.suspectedFor > 0 {
			suspected++
		}
	}
	if 2*suspected <= all {
		p.pacer.Recovered(t.server, now)
	}
}

// paceRules are the rules of the Pacer for one flow.
type paceRules struct {
	// ignored is set if bounds do not apply because too many of the candidates are paced.
	ignored bool
	// penalty is added to the cost of held servers: other servers are preferred while they
	// answer within half of the target.
	penalty float64
}

// paceRules returns the rules for a flow.
func (p *Placer) paceRules(r Request) paceRules {
	if !p.pacer.Active() {
		return paceRules{ignored: true}
	}
	paced, all := 0, 0
	for _, s := range r.Candidates {
		all += s.Slots
		if p.pacer.IsPaced(s.Cookie, r.Now) {
			paced += s.Slots
		}
	}
	return paceRules{
		ignored: paced == 0 || float64(paced) > maxPacedShare*float64(all),
		penalty: timelyTime(r.Route).Seconds(),
	}
}

// paced returns the cost of placing a flow on a server, which would be cost if no server
// were paced. A server that a flow is wanted for costs nothing.
func (e *estimator) paced(s *directory.Server, rec *serverState, cost float64) float64 {
	p, now := e.placer, e.request.Now
	if rec.slowness >= slowServer && rec.inProgress == 0 && rec.slowRetry.isDue(now) && p.pacer.FirstSponsor(s.Cookie) {
		return 0
	}
	if e.pace.ignored {
		return cost
	}
	switch p.pacer.Decide(s.Cookie, rec.inProgress, now) {
	case pace.Wanted:
		return 0
	case pace.Held:
		return cost + e.pace.penalty
	}
	return cost
}

// mayPlace reports whether the limit of a cold server allows a flow.
func (e *estimator) mayPlace(s *directory.Server) bool {
	p, now := e.placer, e.request.Now
	return e.request.ColdPerSecond == 0 || p.pacer.MayPlace(s, p.directoryAge(now), now)
}

// timelyTime returns the time within which an answer of a route is timely.
func timelyTime(r *directory.Route) time.Duration {
	target := r.TargetLatency
	if target <= 0 {
		target = defaultTarget
	}
	return time.Duration(timelyFraction * float64(target))
}

// recordPace records the answer to a request for the server's pace. sample is the slowness that
// the answer alone shows.
func (p *Placer) recordPace(t *Ticket, rec *serverState, sample float64, now time.Time) {
	if rec.slowness < slowServer {
		rec.slowRetry = slowRetry{lastAnswer: now}
	} else if rec.slowRetry.recordAnswer(sample, now) {
		rec.slowness = wellServer
		p.pacer.Recovered(t.server, now)
	}
	p.pacer.Answered(t.server, t.requestSentAt, now.Sub(t.requestSentAt) <= t.timely, now)
}
