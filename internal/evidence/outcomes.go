package evidence

import (
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"
	"sync"
	"time"

	"knapweedshore.example/internal/directory"
)

// Result tells how a request has ended.
type Result uint8

// Results of a request.
const (
	// Timely is an answer within the route's target latency, Late one after it.
	Timely Result = iota
	Late
	// Failed is an answer that is too short for the route, or none at all.
	Failed
)

const (
	// outcomeHalfLife is the age at which an outcome counts half, and recentHalfLife that in
	// the recent sums, which show a fault of all servers first.
	outcomeHalfLife = 2 * time.Second
	recentHalfLife  = 500 * time.Millisecond
	// outcomeScale is the number of units that one request is in a report, so that
	// decayed counts are not rounded to zero.
	outcomeScale = 8
	// minSum is the count below which sums are dropped.
	minSum = 0.05
	// minReportedFailed is the number of failed requests in the zone from which on every
	// daemon reports what it has seen of the server.
	minReportedFailed = 0.75
	// maxPeerSum limits the requests that one peer can claim for a server, and
	// maxPeerServers the servers for which it can claim any.
	maxPeerSum     = 256
	maxPeerServers = 512
	// daemonTTL is how long a daemon counts as one of the zone after its last report, and
	// what it said of a server as included after it said so.
	daemonTTL = 3 * time.Second
	// forgetTime is how long reports about a server that has restarted are ignored,
	// since they may be about its former process.
	forgetTime = 2 * time.Second
)

// Sums are decayed numbers of requests by result.
type Sums struct{ Timely, Late, Failed float64 }

// Total returns the number of requests.
func (s Sums) Total() float64 { return s.Timely + s.Late + s.Failed }

func (s Sums) add(t Sums) Sums {
	return Sums{s.Timely + t.Timely, s.Late + t.Late, s.Failed + t.Failed}
}
func (s Sums) scale(f float64) Sums { return Sums{s.Timely * f, s.Late * f, s.Failed * f} }

// Since returns the part of s that has come after before was taken, which is age ago.
func (s Sums) Since(before Sums, age time.Duration) Sums {
	b := before.decayed(age, outcomeHalfLife)
	return Sums{max(0, s.Timely-b.Timely), max(0, s.Late-b.Late), max(0, s.Failed-b.Failed)}
}

func (s Sums) decayed(age, halfLife time.Duration) Sums {
	if age <= 0 {
		return s
	}
	return s.scale(math.Exp2(-age.Seconds() / halfLife.Seconds()))
}

// tally holds the sums of one server as of a time.
type tally struct {
	sums, recent Sums
	at           time.Time
	// overdue is the number of requests in progress that count as failed until they are
	// answered.
	overdue int
}

// value returns the decayed sums.
func (t *tally) value(now time.Time) Sums {
	if t == nil {
		return Sums{}
	}
	s := t.sums.decayed(now.Sub(t.at), outcomeHalfLife)
	s.Failed += float64(t.overdue)
	return s
}

// Witnessed are the sums of a server over the daemons of a zone.
type Witnessed struct {
	Sums
	// Own is the part that this daemon has seen, and Recent what it has seen recently.
	Own, Recent Sums
	// Reporters is the number of daemons whose requests are included, this one among them,
	// and Witnesses the number of those that have seen failures.
	Reporters, Witnesses int
}

// OutcomeTally counts how requests end on the backend servers: what this daemon sees, and
// what the other daemons of its zone report of their own. Each daemon states only its own
// sums, and the last statement of a peer replaces the one before, so that reports may get
// lost or arrive in any order. It is safe for concurrent use.
type OutcomeTally struct {
	zone string
	// isServer reports whether the directory has a server; peers can tell of no others.
	isServer func(directory.Cookie) bool

	mu  sync.Mutex
	own map[directory.Cookie]*tally
	// peers holds what each peer has said of a server, and rows the number of servers of
	// which a peer has said something.
	peers     map[directory.Cookie]map[netip.Addr]*tally
	rows      map[netip.Addr]int
	forgotten map[directory.Cookie]time.Time
	// watched are the servers to report in any case.
	watched map[directory.Cookie]bool
	// daemons are the other daemons of the zone and the times of their last reports.
	daemons map[netip.Addr]time.Time
}

var _ Source = (*OutcomeTally)(nil)

// NewOutcomeTally returns an empty OutcomeTally of a daemon in a zone. isServer reports
// whether a server is known; nil stands for any.
func NewOutcomeTally(zone string, isServer func(directory.Cookie) bool) *OutcomeTally {
	if isServer == nil {
		isServer = func(directory.Cookie) bool { return true }
	}
	return &OutcomeTally{
		zone: zone, isServer: isServer, own: map[directory.Cookie]*tally{}, peers: map[directory.Cookie]map[netip.Addr]*tally{}, rows: map[netip.Addr]int{},
		forgotten: map[directory.Cookie]time.Time{}, watched: map[directory.Cookie]bool{}, daemons: map[netip.Addr]time.Time{},
	}
}

// ownTally returns this daemon's tally of a server, decayed to now. o.mu must be held.
func (o *OutcomeTally) ownTally(c directory.Cookie, now time.Time) *tally {
	t := o.own[c]
	if t == nil {
		t = &tally{at: now}
		o.own[c] = t
	}
	age := now.Sub(t.at)
	t.sums, t.recent, t.at = t.sums.decayed(age, outcomeHalfLife), t.recent.decayed(age, recentHalfLife), now
	return t
}

// Add records the end of a request.
func (o *OutcomeTally) Add(c directory.Cookie, r Result, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.ownTally(c, now)
	one := Sums{}
	switch r {
	case Timely:
		one.Timely = 1
	case Late:
		one.Late = 1
	case Failed:
		one.Failed = 1
	}
	t.sums, t.recent = t.sums.add(one), t.recent.add(one)
}

// AddOverdue records that a request in progress has become overdue (1), or that it is no
// longer in progress (-1).
func (o *OutcomeTally) AddOverdue(c directory.Cookie, n int, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.ownTally(c, now)
	t.overdue = max(0, t.overdue+n)
}

// Witnessed returns what the daemons of the zone have seen of a server.
func (o *OutcomeTally) Witnessed(c directory.Cookie, now time.Time) Witnessed {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.witnessed(c, now)
}

func (o *OutcomeTally) witnessed(c directory.Cookie, now time.Time) Witnessed {
	w := Witnessed{Own: o.own[c].value(now), Reporters: 1}
	if t := o.own[c]; t != nil {
		w.Recent = t.recent.decayed(now.Sub(t.at), recentHalfLife)
	}
	w.Sums = w.Own
	if w.Own.Failed > minSum {
		w.Witnesses++
	}
	most := 0.0
	for _, t := range o.peers[c] {
		s := t.value(now)
		w.Sums = w.add(s)
		w.Reporters++
		if s.Failed > minSum {
			w.Witnesses++
		}
		most = max(most, s.Failed)
	}
	// No peer counts for more failures than all other daemons together: it may be wrong, or
	// it has been frozen or cut off itself.
	w.Failed = min(w.Failed, 2*(w.Failed-most))
	return w
}

// Daemons returns the number of daemons in the zone that have been heard of, this one
// included.
func (o *OutcomeTally) Daemons(now time.Time) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 1
	for _, at := range o.daemons {
		if now.Sub(at) < daemonTTL {
			n++
		}
	}
	return n
}

// Watch sets whether a server is reported in any case, since its recovery is awaited.
func (o *OutcomeTally) Watch(c directory.Cookie, watched bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if watched {
		o.watched[c] = true
	} else {
		delete(o.watched, c)
	}
}

// AddTo implements Source. A report names the servers on which the zone has seen most
// failures and those that are watched, also if the requests of this daemon were all
// answered: the share of failures can be told only from both.
func (o *OutcomeTally) AddTo(r *Report, ownZone bool, now time.Time) {
	if !ownZone {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	type row struct {
		Outcomes
		seen Witnessed
	}
	var rows []row
	for c := range o.known() {
		if w := o.witnessed(c, now); w.Failed >= minReportedFailed || o.watched[c] {
			rows = append(rows, row{Outcomes{Server: c, Timely: units(w.Own.Timely), Late: units(w.Own.Late), Failed: units(w.Own.Failed)}, w})
		}
	}
	slices.SortFunc(rows, func(a, b row) int {
		// The claims of a single peer do not displace what several daemons have seen.
		return cmp.Or(cmp.Compare(min(2, b.seen.Witnesses), min(2, a.seen.Witnesses)), cmp.Compare(b.seen.Failed, a.seen.Failed), cmp.Compare(a.Server, b.Server))
	})
	for _, row := range rows {
		r.Outcomes = append(r.Outcomes, row.Outcomes)
	}
}

// known returns the servers of which any daemon has said something.
func (o *OutcomeTally) known() map[directory.Cookie]struct{} {
	out := make(map[directory.Cookie]struct{}, len(o.own))
	for c := range o.own {
		out[c] = struct{}{}
	}
	for c := range o.peers {
		out[c] = struct{}{}
	}
	return out
}

// units converts a decayed count to the unit of reports.
func units(n float64) int { return int(math.Round(n * outcomeScale)) }

// Record implements Source.
func (o *OutcomeTally) Record(from Peer, r Report, sentAt time.Time) {
	if from.Zone != o.zone {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.daemons[from.Addr] = sentAt
	for _, row := range r.Outcomes {
		known := o.peers[row.Server][from.Addr]
		if forgotten, ok := o.forgotten[row.Server]; ok && sentAt.Sub(forgotten) < forgetTime ||
			known == nil && (o.rows[from.Addr] >= maxPeerServers || !o.isServer(row.Server)) || known != nil && sentAt.Before(known.at) {
			continue
		}
		s := Sums{float64(row.Timely), float64(row.Late), float64(row.Failed)}.scale(1.0 / outcomeScale)
		if n := s.Total(); n > maxPeerSum {
			s = s.scale(maxPeerSum / n)
		}
		if known == nil {
			o.rows[from.Addr]++
		}
		if o.peers[row.Server] == nil {
			o.peers[row.Server] = map[netip.Addr]*tally{}
		}
		o.peers[row.Server][from.Addr] = &tally{sums: s, at: sentAt}
	}
}

// Forget drops what is known of a server whose process has restarted.
func (o *OutcomeTally) Forget(c directory.Cookie, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.own, c)
	for addr := range o.peers[c] {
		o.dropRow(c, addr)
	}
	o.forgotten[c] = now
}

// dropRow drops what a peer has said of a server.
func (o *OutcomeTally) dropRow(c directory.Cookie, addr netip.Addr) {
	delete(o.peers[c], addr)
	if len(o.peers[c]) == 0 {
		delete(o.peers, c)
	}
	if o.rows[addr]--; o.rows[addr] <= 0 {
		delete(o.rows, addr)
	}
}

// Expire drops sums that have decayed.
func (o *OutcomeTally) Expire(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c, t := range o.own {
		if t.expired(now) {
			delete(o.own, c)
		}
	}
	for c, rows := range o.peers {
		for addr, t := range rows {
			if t.expired(now) {
				o.dropRow(c, addr)
			}
		}
	}
	maps.DeleteFunc(o.daemons, func(_ netip.Addr, at time.Time) bool { return now.Sub(at) >= daemonTTL })
	maps.DeleteFunc(o.forgotten, func(_ directory.Cookie, at time.Time) bool { return now.Sub(at) >= forgetTime })
}

func (t *tally) expired(now time.Time) bool {
	return t.value(now).Total() < minSum && now.Sub(t.at) >= daemonTTL
}
