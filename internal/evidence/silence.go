package evidence

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"knapweedshore.example/internal/directory"
)

const (
	// maxRepeatInterval is the longest time between two repetitions of a caller.
	maxRepeatInterval = 1600 * time.Millisecond
	// verdictTTL is how long a server counts as gone without its registration having
	// vanished. New flows then try it again.
	verdictTTL = 5 * time.Second
	// maxSilentShare is the share of a pool's servers that silence may condemn. If more are
	// silent at once, the network or this daemon is more likely to have failed.
	maxSilentShare = 0.5
	// statementsPerServer is the number of statements of other witnesses that a daemon
	// passes on for one server: more of them would prove nothing more.
	statementsPerServer = 2
)

// Timing and limits of probes.
const (
	// ConnectTimeout is how long a server's VM has to accept a connection: its kernel does
	// so within a round trip.
	ConnectTimeout = 250 * time.Millisecond
	// probeInterval is the minimum time between two probes of one server by one daemon.
	probeInterval = time.Second
	// acceptedInterval is the minimum time until the next probe after one that succeeded.
	acceptedInterval = 3 * time.Second
	// minAddressReuse is the minimum time after the end of a server until its address
	// belongs to another one, which then accepts connections.
	minAddressReuse = 1500 * time.Millisecond
	// maxProbesPerSecond limits the probes of one daemon.
	maxProbesPerSecond = 8
	// probeAfter is the silence of a single flow after which a server is probed.
	probeAfter = 400 * time.Millisecond
	// vanishedProbeShare is the share of the daemons with flows to a vanished server that
	// probe it at a time. The others learn the result from them.
	vanishedProbeShare = 0.2
	// helperProbeShare is the share of the daemons in a server's zone that help to probe it
	// at a time if too few daemons have flows to it.
	helperProbeShare = 0.05
)

// DaemonIDOf returns the identity of the daemon with an address.
func DaemonIDOf(a netip.Addr) DaemonID { return DaemonID(xxhash.Sum64(a.AsSlice())) }

// ZoneIDOf returns the identity of the availability zone with a name.
func ZoneIDOf(name string) ZoneID { return ZoneID(xxhash.Sum64String(name)) }

// SilencesOptions configures Silences.
type SilencesOptions struct {
	// Self and Zone are the address and the availability zone of this daemon.
	Self netip.Addr
	Zone string
	// Directory returns the current directory, which may be nil, and its age.
	Directory func(now time.Time) (*directory.Directory, time.Duration)
	// LastPause returns the end of the daemon's last pause, zero if there was none.
	LastPause func(now time.Time) time.Time
	// OnNews is called when this daemon has learned something that its peers should hear
	// soon. It must not block.
	OnNews func()
	// Draw returns a random number from 0 to 1.
	Draw func() float64
}

// Silences collects the evidence that servers are gone and judges it. It is a Source, and
// safe for concurrent use.
type Silences struct {
	options SilencesOptions
	self    DaemonID
	zone    ZoneID

	start time.Time

	mu      sync.Mutex
	servers map[directory.Cookie]*suspect
	// reached tells, by zone, when this daemon has reached the servers there.
	reached map[string]*reach
	// reportedAt is when the last report of a peer was sent.
	reportedAt time.Time
	// pausedAt is the end of the daemon's last pause, freshSince as in Facts.
	pausedAt, freshSince time.Time
	// held are the vanished servers without a verdict to which this daemon has flows.
	held map[directory.Cookie]bool
	// probesAt is the beginning of the second in which probeCount probes were sent.
	probesAt   time.Time
	probeCount int
	// gone is the number of servers with a verdict.
	gone atomic.Int32
}

// suspect is what is known of one server.
type suspect struct {
	heardAt time.Time
	// period counts the proofs of life. Flows in vain count once in each period.
	period     uint64
	vainSince  time.Time
	vainAt     time.Time
	vainFlows  int
	probe      Probe
	probedAt   time.Time // when the last probe was sent
	statedAt   time.Time // when the result of the last probe came in
	acceptedAt time.Time // when a probe succeeded last
	// others are the statements of other daemons, and sent counts how often each statement was
	// reported. Both are nil before the first doubt.
	others map[DaemonID]Statement
	sent   map[DaemonID]int
	// sentHeard counts how often the last proof of life was reported.
	sentHeard             int
	doubtedAt, doubtUntil time.Time

	verdict  Reason
	judgedAt time.Time
	// started identifies the process that was judged last.
	started int64
	// withheld is set while maxSilentShare prevents a verdict.
	withheld bool
}

// NewSilences returns Silences without evidence.
func NewSilences(o SilencesOptions, now time.Time) *Silences {
	return &Silences{
		options: o, start: now, self: DaemonIDOf(o.Self), zone: ZoneIDOf(o.Zone), servers: map[directory.Cookie]*suspect{},
		reached: map[string]*reach{}, held: map[directory.Cookie]bool{},
	}
}

func (s *Silences) suspect(c directory.Cookie) *suspect {
	x := s.servers[c]
	if x == nil {
		x = &suspect{period: 1}
		s.servers[c] = x
	}
	return x
}

// heard records a proof of life. It refutes the statements about an earlier time.
func (x *suspect) heard(at time.Time) {
	if !at.After(x.heardAt) {
		return
	}
	x.heardAt, x.doubtedAt = at, at
	x.period++
	x.vainSince, x.vainAt, x.vainFlows = time.Time{}, time.Time{}, 0
	if !x.probedAt.After(at) {
		x.probe = ProbeNone
	}
}

// Answered records that a server has answered a packet of this daemon. Something that the
// server answered was sent at sentAt; zero if that is unknown.
func (s *Silences) Answered(server *directory.Server, sentAt, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.suspect(server.Cookie)
	x.heard(now)
	if now.Before(x.doubtUntil) {
		x.sentHeard = 0
	}
	if sentAt.IsZero() {
		return
	}
	s.recordReach(server, sentAt)
}

func later(x, y time.Time) time.Time {
	if y.After(x) {
		return y
	}
	return x
}

// Repeated records that a flow repeats data that a server has not acknowledged since it was
// sent at sentAt. It has no effect if the server's zone or this daemon may have been cut off
// then. The flow passes the period in which it was counted last, zero at first,
// and keeps the one returned.
func (s *Silences) Repeated(server *directory.Server, period uint64, sentAt, now time.Time) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.suspect(server.Cookie)
	if !sentAt.After(x.heardAt) || !s.reachedAfter(server, sentAt) {
		return period
	}
	x.vainAt = now
	if x.vainSince.IsZero() || sentAt.Before(x.vainSince) {
		x.vainSince = sentAt
	}
	if period != x.period {
		x.vainFlows++
		delete(x.sent, s.self)
		s.options.OnNews()
	}
	x.doubt(now)
	return x.period
}

// doubt records that there is evidence against the server.
func (x *suspect) doubt(now time.Time) {
	if x.others == nil {
		x.others, x.sent = map[DaemonID]Statement{}, map[DaemonID]int{}
	}
	if now.After(x.doubtUntil) {
		x.doubtedAt = now
	}
	x.doubtUntil = now.Add(statementTTL)
}

// own returns this daemon's statement about a server. It is empty if the daemon has nothing
// to state, or if the daemon or the server's zone may be cut off.
func (s *Silences) own(server *directory.Server, x *suspect, now time.Time) Statement {
	st := Statement{Zone: s.zone, At: now}
	if x.vainFlows > 0 && now.Sub(x.vainAt) <= maxRepeatInterval {
		st.Since, st.Flows = x.vainSince, x.vainFlows
	}
	if x.probe != ProbeNone && now.Sub(x.statedAt) <= statementTTL && (x.probe == ProbeRefused || s.reachedAfter(server, x.probedAt)) {
		st.Probe = x.probe
		if st.Flows == 0 {
			st.Since, st.At = x.probedAt, x.statedAt
		}
	}
	if st.Flows == 0 && st.Probe == ProbeNone || st.Probe != ProbeRefused && !s.reachedLately(server, now) {
		return Statement{}
	}
	return st
}

// AddTo implements Source. What has been reported least often comes first, so that each
// piece of news spreads. Daemons have most of their flows to servers of their own zone, which
// therefore come first there.
func (s *Silences) AddTo(r *Report, ownZone bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, _ := s.options.Directory(now)
	if d == nil {
		return
	}
	type entry struct {
		silence Silence
		sent    int
		x       *suspect
	}
	var silences []entry
	var heard []*suspect
	heardOf := map[*suspect]directory.Cookie{}
	for c, x := range s.servers {
		if now.After(x.doubtUntil) {
			continue
		}
		server := d.ByCookie(c)
		if server == nil {
			continue
		}
		if now.Sub(x.heardAt) <= statementTTL {
			heard = append(heard, x)
			heardOf[x] = c
		}
		delay := 0
		if ownZone && server.Zone != s.options.Zone {
			delay = otherZoneDelay
		}
		add := func(w DaemonID, st Statement) {
			silences = append(silences, entry{Silence{
				Server: c, Witness: w, Zone: st.Zone, SilentFor: st.At.Sub(st.Since), Age: max(0, now.Sub(st.At)), Flows: st.Flows, Probe: st.Probe,
			}, x.sent[w] + delay, x})
		}
		if st := s.own(server, x, now); !st.At.IsZero() {
			add(s.self, st)
		}
		for _, w := range x.passedOn(now) {
			add(w, x.others[w])
		}
	}
	slices.SortFunc(silences, func(a, b entry) int { return cmp.Compare(a.sent, b.sent) })
	for _, e := range silences[:min(MaxReportedSilences, len(silences))] {
		e.x.sent[e.silence.Witness]++
		r.Silences = append(r.Silences, e.silence)
	}
	slices.SortFunc(heard, func(a, b *suspect) int { return cmp.Compare(a.sentHeard, b.sentHeard) })
	for _, x := range heard[:min(MaxReportedHeard, len(heard))] {
		x.sentHeard++
		r.Heard = append(r.Heard, Heard{Server: heardOf[x], Age: max(0, now.Sub(x.heardAt))})
	}
}

// Limits on the entries of a report: more of them are left to the next reports.
const (
	MaxReportedSilences = 10
	MaxReportedHeard    = 4
	// otherZoneDelay is how many reports later a statement about a server of another zone
	// is reported to daemons of the own zone.
	otherZoneDelay = 3
)

// passedOn returns the witnesses whose statements this daemon passes on, those with most
// flows first.
func (x *suspect) passedOn(now time.Time) []DaemonID {
	var out []DaemonID
	for w, st := range x.others {
		if now.Sub(st.At) <= statementTTL && st.Since.After(x.heardAt) {
			out = append(out, w)
		}
	}
	slices.SortFunc(out, func(a, b DaemonID) int {
		return cmp.Or(cmp.Compare(x.others[b].Flows, x.others[a].Flows), cmp.Compare(a, b))
	})
	return out[:min(statementsPerServer, len(out))]
}

// Record implements Source. Statements about unknown servers are ignored, and of a server's
// witnesses only the latest statement of each is kept.
func (s *Silences) Record(_ Peer, r Report, sentAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportedAt = later(s.reportedAt, sentAt)
	d, _ := s.options.Directory(sentAt)
	if d == nil {
		return
	}
	for _, h := range r.Heard {
		if d.ByCookie(h.Server) != nil {
			x := s.suspect(h.Server)
			if at := sentAt.Add(-h.Age); at.Sub(x.heardAt) > maxRumourDelay {
				x.heard(at)
				x.sentHeard = 0
			}
		}
	}
	for _, row := range r.Silences {
		if row.Witness == s.self || d.ByCookie(row.Server) == nil || row.Age > statementTTL {
			continue
		}
		x := s.suspect(row.Server)
		at := sentAt.Add(-row.Age)
		st := Statement{Zone: row.Zone, Since: at.Add(-row.SilentFor), At: at, Flows: row.Flows, Probe: row.Probe}
		known, isKnown := x.others[row.Witness]
		if isKnown && st.isCopyOf(known) || !isKnown && !x.makeRoom() {
			continue
		}
		if st.Since.After(x.heardAt) && (st.Flows > known.Flows || st.Probe != known.Probe) {
			delete(x.sent, row.Witness)
			s.options.OnNews()
		}
		x.doubt(sentAt)
		x.others[row.Witness] = st
	}
}

// isCopyOf reports whether s repeats a known statement of the witness or an earlier one, as
// others pass it on. A copy is not dated anew, or daemons that tell each other an old
// statement would keep it alive.
func (s Statement) isCopyOf(known Statement) bool {
	length, knownLength := s.At.Sub(s.Since), known.At.Sub(known.Since)
	switch {
	case !s.At.After(known.At):
		return true
	case s.Probe != known.Probe || s.Flows > known.Flows:
		return false
	}
	return length == knownLength && s.Flows == known.Flows || length <= knownLength && s.Since.Before(known.At)
}

// makeRoom removes the oldest statement if there are maxWitnesses. It reports whether there is
// room for another one. Statements that no longer count are kept as long as possible, to know
// copies of them.
func (x *suspect) makeRoom() bool {
	if len(x.others) < maxWitnesses {
		return true
	}
	oldest := DaemonID(0)
	for w, st := range x.others {
		if _, ok := x.others[oldest]; !ok || st.At.Before(x.others[oldest].At) {
			oldest = w
		}
	}
	if x.others[oldest].Since.After(x.heardAt) {
		return false
	}
	delete(x.others, oldest)
	return true
}

const (
	// maxWitnesses is the number of witnesses of one server that are kept.
	maxWitnesses = 16
	// maxRumourDelay is how much later a proof of life that a peer states must be than the
	// known one. The network delays of rumours make one proof appear later with each hop.
	maxRumourDelay = 250 * time.Millisecond
)
