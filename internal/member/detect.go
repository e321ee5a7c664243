package member

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
)

const (
	// HeartbeatInterval is the interval of heartbeats on each link.
	HeartbeatInterval = 250 * time.Millisecond
	// SuspectAfter is the time without a message after which a monitored member is
	// suspected: four missed heartbeats.
	SuspectAfter = 4 * HeartbeatInterval
	// RefutationTimeout is how long a suspected member has to refute with a higher
	// incarnation before it is declared dead.
	RefutationTimeout = 750 * time.Millisecond
	// maxSilenceTimeout limits the silence timeout of a member, which doubles with
	// each refuted suspicion. Otherwise one broken link would flood the region
	// with suspicions and refutations.
	maxSilenceTimeout = 32 * time.Second
	// LeftRetention is how long the record of a member that has left is kept, so
	// that a delayed older record does not add the member again.
	LeftRetention = 10 * time.Minute
	// DeadRetention is how long the record of a dead member is kept and its
	// address is retried, unless Prune removes it earlier.
	DeadRetention = 24 * time.Hour
	// RemovalDelay is how long a member must have been dead or have left before
	// Prune removes it. The delay is needed because the platform's VM list lags.
	RemovalDelay = 5 * time.Minute
)

// record is a member and this daemon's observations of it.
type record struct {
	Member
	stateSince time.Time // when the current state and incarnation began
	// successor is set if the member is a ring successor of this daemon. linked is
	// set if there is a link to the member, or the last one was not closed
	// cleanly. The member is monitored if either is set. A lost link raises only
	// one suspicion: if the member refutes it, the daemons that still have links
	// to it monitor it.
	successor, linked bool
	silentSince       time.Time     // start of the current silence
	silenceTimeout    time.Duration // silence after which the member is suspected
	lastHeartbeat     time.Time     // last heartbeat from the member itself
}

// monitored reports whether silence of the member raises a suspicion.
func (r *record) monitored() bool { return !r.gone() && (r.successor || r.linked) }

// set replaces the member's record with a newer one.
func (r *record) set(m Member, now time.Time) {
	r.Member = m
	r.stateSince = now
	if m.gone() {
		r.successor, r.linked = false, false
	}
}

// setSuccessor sets whether the member is a ring successor, and starts the silence
// timer if the member was not monitored before.
func (r *record) setSuccessor(successor bool, now time.Time) {
	if successor && !r.monitored() {
		r.silentSince, r.silenceTimeout = now, SuspectAfter
	}
	r.successor = successor
}

// restartTimers restarts the timers of silence and suspicion.
func (r *record) restartTimers(now time.Time) {
	r.silentSince = now
	if r.State == Suspect {
		r.stateSince = now
	}
}

// checkSilence suspects monitored members that have been silent for too long. A
// leaving member owns no slots. It is declared dead directly, because it would own
// slots again while suspected.
func (t *Table) checkSilence(now time.Time) []Member {
	successors := make(map[Name]bool)
	for _, m := range t.view.Load().Successors() {
		successors[m.Name] = true
	}
	var changed []Member
	for _, r := range t.records {
		r.setSuccessor(successors[r.Name], now)
		if !r.monitored() {
			continue
		}
		switch silence := now.Sub(r.silentSince); {
		case r.State == Alive && silence >= r.silenceTimeout:
			r.linked = false
			r.silentSince, r.silenceTimeout = now, min(2*r.silenceTimeout, maxSilenceTimeout)
			changed = append(changed, t.setState(r, Suspect, now))
		case r.State == Leaving && silence >= SuspectAfter+RefutationTimeout:
			changed = append(changed, t.setState(r, Dead, now))
		}
	}
	return changed
}

// checkSuspicions declares suspected members dead that did not refute in time.
func (t *Table) checkSuspicions(now time.Time) []Member {
	var changed []Member
	for _, r := range t.records {
		if r.State == Suspect && now.Sub(r.stateSince) >= RefutationTimeout {
			changed = append(changed, t.setState(r, Dead, now))
		}
	}
	return changed
}

// setState changes the state of a member and returns the changed member.
func (t *Table) setState(r *record, s State, now time.Time) Member {
	m := r.Member
	m.State = s
	t.logTransition(r.State, m)
	r.set(m, now)
	return m
}

// removeExpired removes members whose retention is over and reports whether there
// were any.
func (t *Table) removeExpired(now time.Time) bool {
	return t.removeRecords(func(r *record) bool {
		age := now.Sub(r.stateSince)
		return r.State == Left && age >= LeftRetention || r.State == Dead && age >= DeadRetention
	})
}

// removeRecords removes the records that match and reports whether there were any.
func (t *Table) removeRecords(match func(*record) bool) bool {
	before := len(t.ring)
	t.ring = slices.DeleteFunc(t.ring, func(r *record) bool {
		if match(r) {
			delete(t.records, r.Name)
			return true
		}
		return false
	})
	return len(t.ring) < before
}

// ringPosition returns the index in ring at which a member is or would be
// inserted. ring must be in ring order.
func ringPosition(ring []*record, n Name) int {
	i, _ := slices.BinarySearchFunc(ring, n, func(r *record, n Name) int { return compareRing(r.Name, n) })
	return i
}

// logTransition logs and counts a change of state from old to m.State.
func (t *Table) logTransition(old State, m Member) {
	fields := []zap.Field{
		zap.String("member", string(m.Name)), zap.String("zone", m.Zone),
		zap.Uint64("incarnation", m.Incarnation),
	}
	switch {
	case m.State == old:
	case m.State == Alive && old != Suspect && old != Leaving:
		t.cfg.Events.Log(events.MemberJoined, fields...)
	case m.State == Leaving:
		t.cfg.Events.Log(events.MemberLeaving, fields...)
	case m.State == Suspect:
		t.cfg.Events.Log(events.MemberSuspected, fields...)
	case m.State == Dead:
		t.cfg.Metrics.Count(metrics.MembersDied, 1)
		t.cfg.Events.Log(events.MemberDied, fields...)
	}
}
