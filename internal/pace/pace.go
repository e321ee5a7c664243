// Package pace decides how fast a backend server that has just started or recovered is
// loaded. All daemons of a region keep one bound for the server together: at each stage of
// its period, only the first daemons in an order that all of them compute place flows on
// it, each up to one request more than it has seen answered in time. The package also
// keeps limits on the requests per second of cold servers.
//
// A bound never refuses a flow: placement prefers other servers as long as they serve the
// flow as well. Only a configured limit on a cold server is kept whatever else is free.
package pace

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/evidence"
)

const (
	// minFleet is the number of daemons from which servers are paced. The daemons of a
	// smaller fleet all report to each other within a fifth of a second, so that each knows
	// what a server has in progress.
	minFleet = 13
	// stageTime is how long a stage lasts at most. A server is open to all daemons after
	// a few stages even if no report and no answer ever comes.
	stageTime = 300 * time.Millisecond
	// finalStage is the stage of a server that is not paced. It is above the stages that
	// any number of daemons needs.
	finalStage = 40
	// lateHold and missingHold are how long a daemon places nothing more on a paced server
	// after a late answer, and after a request without an answer.
	lateHold    = 200 * time.Millisecond
	missingHold = 500 * time.Millisecond
	// announceTime is how long the end of a period is reported to peers.
	announceTime = 2 * time.Second
	// recoveryBits is the number of bits of a period that count the recoveries of one
	// process. A peer may be ahead by maxRecoveryLead recoveries.
	recoveryBits    = 16
	maxRecoveryLead = 64
)

// Decision is what a daemon may do with a server at the moment.
type Decision uint8

const (
	// Open servers are placed on as usual.
	Open Decision = iota
	// Wanted servers need a flow of this daemon to reach their next stage.
	Wanted
	// Held servers are to be preferred by no flow that can be served elsewhere.
	Held
)

// Reasons of a Change.
const (
	ReasonStart    = "start"
	ReasonReturn   = "return"
	ReasonRecovery = "recovery"
	ReasonPeer     = "peer"
	ReasonAnswers  = "answers"
	ReasonTime     = "time"
)

// Change reports that a period of a server begins or ends.
type Change struct {
	Server directory.Cookie
	Name   string
	// Paced is set at the beginning.
	Paced bool
	// Reason is why the period begins, or what completed its last stage.
	Reason string
	// Took is the duration of a period that has ended.
	Took time.Duration
}

// Options configures a Pacer.
type Options struct {
	// Self and Zone are the peer address and the availability zone of this daemon.
	Self netip.Addr
	Zone string
	// Random decides which answers raise a stage.
	Random *rand.Rand
	// MaxAge is the age up to which a directory may be used for shares of a limit.
	MaxAge time.Duration
	// OnChange is called when a period begins or ends.
	OnChange func(Change)
}

// Pacer holds one daemon's view of the paced servers. It is not safe for concurrent use.
type Pacer struct {
	options Options
	// daemons are the registered daemons and this one, sorted.
	daemons []daemon
	// registered is set while this daemon is registered.
	registered bool
	// daemonsSince is when daemons last changed; zero before the first directory.
	daemonsSince time.Time
	servers      map[directory.Cookie]*server
	// paced is the number of servers in a period.
	paced int
	// confirmedAt is when the directory was last confirmed to be the newest one, and gapAt
	// when that had last not happened for the maximum age.
	confirmedAt, gapAt time.Time
}

type daemon struct {
	addr netip.Addr
	zone string
}

// server is the state of one server.
type server struct {
	current *directory.Server
	// inUse is set while the server takes new flows.
	inUse bool
	// enabled is set if the configuration or the registration says that the server is slow
	// after its start.
	enabled bool
	// period and stage are the greatest pair that is known, finalStage after the period.
	period uint64
	stage  int
	// stageSince and periodSince are when this daemon learned of the stage and the period.
	stageSince, periodSince time.Time
	// rank is this daemon's place in the order of the server's sponsors, among the daemons
	// as of rankedSince.
	rank        int
	rankedSince time.Time
	// proofs counts the timely answers that this daemon has got in the period, less those
	// that late ones have taken back.
	proofs    int
	heldUntil time.Time
	limit     limit
}

// New returns a Pacer without servers.
func New(o Options) *Pacer {
	if o.OnChange == nil {
		o.OnChange = func(Change) {}
	}
	return &Pacer{options: o, servers: map[directory.Cookie]*server{}}
}

// Enabled reports whether the fleet is large enough for paces.
func (p *Pacer) Enabled() bool { return len(p.daemons) >= minFleet }

// Active reports whether any server is paced.
func (p *Pacer) Active() bool { return p.paced > 0 }

// Apply follows a new directory. A server begins a period when it starts to take flows,
// except in the first directory, where only cold servers do: the others have most likely
// run for long.
func (p *Pacer) Apply(d *directory.Directory, now time.Time) {
	first := p.daemonsSince.IsZero()
	p.setDaemons(d, now)
	inUse := map[directory.Cookie]bool{}
	for pool, servers := range d.Pools() {
		settings := d.Pool(pool)
		for _, s := range servers {
			inUse[s.Cookie] = true
			p.applyServer(s, settings, first, now)
		}
	}
	for c, rec := range p.servers {
		if inUse[c] {
			continue
		}
		if rec.isPaced() {
			p.finish(rec, ReasonReturn, now)
		}
		rec.inUse = false
		if d.ByCookie(c) == nil {
			delete(p.servers, c)
		}
	}
}

func (p *Pacer) applyServer(s *directory.Server, settings directory.PoolSettings, first bool, now time.Time) {
	rec := p.servers[s.Cookie]
	if rec == nil {
		rec = &server{period: firstPeriod(s), stage: finalStage}
		p.servers[s.Cookie] = rec
	}
	restarted := rec.current != nil && rec.current.Started != s.Started
	known := rec.current != nil
	rec.current = s
	rec.enabled = settings.ColdStart > 0 || s.ColdFor > 0
	switch {
	case !rec.enabled, first && !s.Cold(now):
	case restarted, !known:
		p.begin(rec, max(rec.period, firstPeriod(s)), ReasonStart, now)
	case !rec.inUse:
		p.begin(rec, max(rec.period+1, firstPeriod(s)), ReasonReturn, now)
	}
	rec.inUse = true
	p.applyLimit(rec, settings.ColdPerSecond, now)
}

// firstPeriod returns the number of the period that begins with a process. It follows from
// the registration, so that all daemons agree.
func firstPeriod(s *directory.Server) uint64 { return processNumber(s) << recoveryBits }

func processNumber(s *directory.Server) uint64 {
	if s.Started != 0 {
		return uint64(s.Started)
	}
	return s.CreateRevision
}

// setDaemons updates the daemons from a directory.
func (p *Pacer) setDaemons(d *directory.Directory, now time.Time) {
	var daemons []daemon
	registered := false
	for addr, vm := range d.VMs() {
		daemons = append(daemons, daemon{addr, vm.Zone})
		registered = registered || addr == p.options.Self
	}
	if !registered {
		daemons = append(daemons, daemon{p.options.Self, p.options.Zone})
	}
	slices.SortFunc(daemons, func(a, b daemon) int { return a.addr.Compare(b.addr) })
	if !p.daemonsSince.IsZero() && registered == p.registered && slices.Equal(daemons, p.daemons) {
		return
	}
	p.daemons, p.registered, p.daemonsSince = daemons, registered, now
}

// rank returns the number of daemons that come before this one as sponsors of a server.
// Those of the server's zone come first, since they place most of its flows.
func (p *Pacer) rank(rec *server) int {
	if rec.rankedSince.Equal(p.daemonsSince) {
		return rec.rank
	}
	s, self, rank := rec.current, daemon{p.options.Self, p.options.Zone}, 0
	own := weight(s, 0, self)
	for _, other := range p.daemons {
		if other.addr == self.addr {
			continue
		}
		near, selfNear := other.zone == s.Zone, self.zone == s.Zone
		if near && !selfNear || near == selfNear && weight(s, 0, other) > own {
			rank++
		}
	}
	rec.rank, rec.rankedSince = rank, p.daemonsSince
	return rank
}

func (s *server) isPaced() bool { return s.stage < finalStage }

// sponsors returns the number of daemons that may place flows on the server: at first one
// for each slot, so that none of their requests has to queue.
func (s *server) sponsors() int { return s.sponsorsAt(s.stage) }

func (s *server) sponsorsAt(stage int) int { return s.current.Slots << min(stage, 20) }

// begin starts a period, unless all daemons would be sponsors at once.
func (p *Pacer) begin(rec *server, period uint64, reason string, now time.Time) {
	if !p.Enabled() || rec.current.Slots >= len(p.daemons) {
		return
	}
	if !rec.isPaced() {
		p.paced++
	}
	rec.period, rec.stage, rec.stageSince, rec.periodSince = period, 0, now, now
	rec.proofs, rec.heldUntil = 0, time.Time{}
	p.options.OnChange(Change{Server: rec.current.Cookie, Name: rec.current.Name, Paced: true, Reason: reason})
}

// raise sets the stage. The period ends with the stage at which all daemons are sponsors.
func (p *Pacer) raise(rec *server, stage int, reason string, now time.Time) {
	rec.stage, rec.stageSince = stage, now
	if rec.sponsors() >= len(p.daemons) {
		p.finish(rec, reason, now)
	}
}

func (p *Pacer) finish(rec *server, reason string, now time.Time) {
	rec.stage, rec.stageSince = finalStage, now
	p.paced--
	p.options.OnChange(Change{Server: rec.current.Cookie, Name: rec.current.Name, Reason: reason, Took: now.Sub(rec.periodSince)})
}

// get returns the state of a server at a time, with the stages that time has completed.
func (p *Pacer) get(c directory.Cookie, now time.Time) *server {
	rec := p.servers[c]
	if rec == nil {
		return nil
	}
	for rec.isPaced() && now.Sub(rec.stageSince) >= stageTime {
		p.raise(rec, rec.stage+1, ReasonTime, rec.stageSince.Add(stageTime))
	}
	return rec
}

// Decide returns what this daemon may do with a server on which it has a number of requests
// in progress.
func (p *Pacer) Decide(c directory.Cookie, inProgress int, now time.Time) Decision {
	if p.paced == 0 {
		return Open
	}
	rec := p.get(c, now)
	switch {
	case rec == nil || !rec.isPaced():
		return Open
	case p.rank(rec) >= rec.sponsors() || now.Before(rec.heldUntil) || inProgress > rec.proofs:
		return Held
	case p.leads(rec) && rec.proofs == 0 && inProgress == 0:
		return Wanted
	}
	return Open
}

// leads reports whether this daemon is the first of those that have become sponsors with
// the stage. It alone prefers the server, so that each stage takes one flow to prove.
func (p *Pacer) leads(rec *server) bool {
	if rec.stage == 0 {
		return p.rank(rec) == 0
	}
	return p.rank(rec) == rec.sponsorsAt(rec.stage-1)
}

// IsPaced reports whether a server is in a period.
func (p *Pacer) IsPaced(c directory.Cookie, now time.Time) bool {
	if p.paced == 0 {
		return false
	}
	rec := p.get(c, now)
	return rec != nil && rec.isPaced()
}

// Paced returns the names of the servers in a period, sorted.
func (p *Pacer) Paced(now time.Time) []string {
	var names []string
	for c, rec := range p.servers {
		if p.IsPaced(c, now) {
			names = append(names, rec.current.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Answered records the answer to a request that was sent to a server at a time. While few
// daemons are sponsors, one timely answer completes a stage. Later, a few are needed: each
// answer does it with a probability, so that the daemons need not count together.
func (p *Pacer) Answered(c directory.Cookie, sentAt time.Time, timely bool, now time.Time) {
	if p.paced == 0 {
		return
	}
	rec := p.get(c, now)
	if rec == nil || !rec.isPaced() || sentAt.Before(rec.periodSince) {
		return
	}
	if !timely {
		rec.proofs /= 2
		rec.heldUntil, rec.stageSince = now.Add(lateHold), now
		return
	}
	rec.proofs++
	raises := p.options.Random.IntN(rec.sponsors()) < 2*rec.current.Slots
	if raises && p.rank(rec) < rec.sponsors() && !sentAt.Before(rec.stageSince) {
		p.raise(rec, rec.stage+1, ReasonAnswers, now)
	}
}

// Failed records a request that a server did not answer.
func (p *Pacer) Failed(c directory.Cookie, now time.Time) {
	if p.paced == 0 {
		return
	}
	if rec := p.get(c, now); rec != nil && rec.isPaced() {
		rec.proofs, rec.heldUntil = 0, now.Add(missingHold)
	}
}

// Recovered begins a period of a server that was silent or slow and answers well again.
func (p *Pacer) Recovered(c directory.Cookie, now time.Time) {
	if rec := p.get(c, now); rec != nil && rec.inUse && rec.enabled && !rec.isPaced() {
		p.begin(rec, rec.period+1, ReasonRecovery, now)
	}
}

// FirstSponsor reports whether this daemon is the one that tries a server that seems slow,
// if recoveries of the server are paced.
func (p *Pacer) FirstSponsor(c directory.Cookie) bool {
	rec := p.servers[c]
	return p.Enabled() && rec != nil && rec.inUse && rec.enabled && p.rank(rec) == 0
}

// Merge adds a row of a peer's report. It reports whether a period of the server began by it.
func (p *Pacer) Merge(row evidence.Pace, now time.Time) (began bool) {
	rec := p.get(row.Server, now)
	if rec == nil || !rec.inUse || row.Period < rec.period || !rec.accepts(row.Period) {
		return false
	}
	if row.Period > rec.period {
		if row.Stage >= finalStage {
			rec.period = row.Period
			if rec.isPaced() {
				p.finish(rec, ReasonPeer, now)
			}
			return true
		}
		p.begin(rec, row.Period, ReasonPeer, now)
		began = true
	}
	if rec.isPaced() && row.Stage > rec.stage {
		p.raise(rec, min(row.Stage, finalStage), ReasonPeer, now)
	}
	return began
}

// accepts reports whether a peer may state a period, which must belong to the known process
// of the server.
func (s *server) accepts(period uint64) bool {
	first := firstPeriod(s.current)
	return period >= first && period-max(first, s.period) <= maxRecoveryLead
}

// Rows returns the rows for a report, those that have changed last first.
func (p *Pacer) Rows(now time.Time) []evidence.Pace {
	type entry struct {
		row   evidence.Pace
		since time.Time
	}
	var entries []entry
	for c, rec := range p.servers {
		p.get(c, now)
		ended := !rec.periodSince.IsZero() && now.Sub(rec.stageSince) < announceTime
		if rec.isPaced() || ended {
			entries = append(entries, entry{evidence.Pace{Server: c, Period: rec.period, Stage: rec.stage}, rec.stageSince})
		}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(b.since.Compare(a.since), cmp.Compare(a.row.Server, b.row.Server))
	})
	var rows []evidence.Pace
	for _, e := range entries {
		rows = append(rows, e.row)
	}
	return rows
}
