package member

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
)

const (
	// HeartbeatInterval is the period of heartbeats on each link.
	HeartbeatInterval = 250 * time.Millisecond
	// SuspectAfter is the silence after which a linked member is suspected:
	// four missed heartbeats.
	SuspectAfter = 4 * HeartbeatInterval
	// RefutationTimeout is how long a suspected member has to answer with a
	// higher incarnation.
	RefutationTimeout = 750 * time.Millisecond
	// maxSuspectAfter bounds the silence after which a member is suspected
	// again. The silence doubles with each refuted suspicion, so that one
	// broken link does not flood the region with suspicions and refutations.
	maxSuspectAfter = 32 * time.Second
	// LeftRetention is how long a left member is remembered, so that an old
	// record that is still under way does not revive it.
	LeftRetention = 10 * time.Minute
	// DeadRetention is how long a dead member is retried and remembered if
	// the platform's VM list does not remove it earlier.
	DeadRetention = 24 * time.Hour
	// RemovalDelay is how long a member must have been dead or left before
	// its absence from the platform's VM list, which lags, removes it.
	RemovalDelay = 5 * time.Minute
)

// record is a member with what this daemon observed about it.
type record struct {
	Member
	since time.Time // start of the current state and incarnation
	// successor and linked say why silence of the member raises a suspicion:
	// this daemon must link to it, or there was a link that did not end in
	// order. A lost link raises one suspicion; if the member refutes it, those
	// that still have links watch it.
	successor, linked bool
	silent            time.Time     // start of the silence
	limit             time.Duration // silence that raises a suspicion
	heard             time.Time     // last message of the member itself
}

func (r *record) watched() bool { return !r.ended() && (r.successor || r.linked) }

// set replaces the record by a newer one.
func (r *record) set(m Member, now time.Time) {
	r.Member = m
	r.since = now
	if m.ended() {
		r.successor, r.linked = false, false
	}
}

// setSuccessor begins or ends the watch of a ring successor.
func (r *record) setSuccessor(successor bool, now time.Time) {
	if successor && !r.watched() {
		r.silent, r.limit = now, SuspectAfter
	}
	r.successor = successor
}

func (r *record) restartTimers(now time.Time) {
	r.silent = now
	if r.State == Suspect {
		r.since = now
	}
}

// checkSilence suspects watched members that were silent for too long. A
// leaving member owns no slots and is declared dead without the suspected
// state, in which it would own slots again.
func (t *Table) checkSilence(now time.Time) []Member {
	successors := make(map[Name]bool)
	for _, m := range t.view.Load().Successors() {
		successors[m.Name] = true
	}
	var changed []Member
	for _, r := range t.records {
		r.setSuccessor(successors[r.Name], now)
		if !r.watched() {
			continue
		}
		switch silence := now.Sub(r.silent); {
		case r.State == Alive && silence >= r.limit:
			r.linked = false
			r.silent, r.limit = now, min(2*r.limit, maxSuspectAfter)
			changed = append(changed, t.setState(r, Suspect, now))
		case r.State == Leaving && silence >= SuspectAfter+RefutationTimeout:
			changed = append(changed, t.setState(r, Dead, now))
		}
	}
	return changed
}

// checkSuspicions declares suspected members dead that did not refute.
func (t *Table) checkSuspicions(now time.Time) []Member {
	var changed []Member
	for _, r := range t.records {
		if r.State == Suspect && now.Sub(r.since) >= RefutationTimeout {
			changed = append(changed, t.setState(r, Dead, now))
		}
	}
	return changed
}

func (t *Table) setState(r *record, s State, now time.Time) Member {
	m := r.Member
	m.State = s
	t.logTransition(r.State, m)
	r.set(m, now)
	return m
}

// forgetOld drops members that ended long ago and reports whether it did.
func (t *Table) forgetOld(now time.Time) bool {
	return t.forget(func(r *record) bool {
		age := now.Sub(r.since)
		return r.State == Left && age >= LeftRetention || r.State == Dead && age >= DeadRetention
	})
}

// forget drops the records for which gone holds and reports whether any did.
func (t *Table) forget(gone func(*record) bool) bool {
	before := len(t.ring)
	t.ring = slices.DeleteFunc(t.ring, func(r *record) bool {
		if gone(r) {
			delete(t.records, r.Name)
			return true
		}
		return false
	})
	return len(t.ring) < before
}

// ringPosition returns where a member belongs among records in ring order.
func ringPosition(ring []*record, n Name) int {
	i, _ := slices.BinarySearchFunc(ring, n, func(r *record, n Name) int { return compareRing(r.Name, n) })
	return i
}

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
