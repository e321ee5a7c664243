package member

import (
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
)

const (
	// unknown is the state before a member's first record.
	unknown State = -1
	// refutationRate and refutationBurst limit the new incarnations of this
	// daemon. Without a limit, two VMs with one name would outbid each other
	// as fast as the network allows.
	refutationRate  rate.Limit = 4 // a second
	refutationBurst int        = 8
)

// Apply merges records that the peer from sent.
func (t *Table) Apply(from Name, records []Member) { t.apply(from, records, time.Now()) }

func (t *Table) apply(from Name, records []Member, now time.Time) {
	t.mu.Lock()
	var changed []Member
	for _, m := range records {
		if m.Region != t.self.Region {
			t.cfg.Metrics.Refused(metrics.PeerNotMember)
			continue
		}
		var got Member
		var news bool
		if m.Name == t.self.Name {
			got, news = t.refute(m, now)
		} else {
			got, news = t.merge(m, now)
		}
		if news {
			changed = append(changed, got)
		}
	}
	if len(changed) > 0 {
		t.publish(changed, from)
	}
	t.mu.Unlock()
	t.deliver()
}

// refute answers a record about this daemon that contradicts its own: a
// suspicion, a death, or a record of an earlier life with a later clock. An
// answer dropped by the limit is asked for again with the next heartbeats.
func (t *Table) refute(m Member, now time.Time) (Member, bool) {
	if t.self.State == Left || Compare(m, t.self) <= 0 || !t.refutations.AllowN(now, 1) {
		return Member{}, false
	}
	t.self.Incarnation = m.Incarnation + 1
	t.cfg.Events.Log(events.SuspicionRefuted, zap.Uint64("incarnation", t.self.Incarnation),
		zap.Stringer("state", m.State))
	return t.self, true
}

// merge takes a newer record over. A death that is news is at first only a
// suspicion: after a partition, records of the other side declare members dead
// that are well connected here, and those must be able to refute before their
// slots move. A suspected member dies by this daemon's own timer.
func (t *Table) merge(m Member, now time.Time) (Member, bool) {
	r, known := t.records[m.Name]
	if !known {
		return t.add(m, now)
	}
	if m.State == Dead && r.Serves() {
		m.State = Suspect
	}
	if Compare(m, r.Member) <= 0 {
		return Member{}, false
	}
	t.logTransition(r.State, m)
	r.set(m, now)
	return m, true
}

// add keeps the first record of a member. One that has left already is of no
// use to anyone.
func (t *Table) add(m Member, now time.Time) (Member, bool) {
	if m.State == Left {
		return Member{}, false
	}
	if m.State != Dead {
		t.logTransition(unknown, m)
	}
	r := &record{}
	r.set(m, now)
	t.records[m.Name] = r
	t.ring = slices.Insert(t.ring, ringPosition(t.ring, m.Name), r)
	return m, true
}

// HandleHeartbeat notes a message of the peer itself. acked is the newest incarnation
// of this daemon that the peer considers alive; it restores the standing if it
// is the current one.
func (t *Table) HandleHeartbeat(from Name, acked uint64) { t.heard(from, acked, time.Now()) }

func (t *Table) heard(from Name, acked uint64, now time.Time) {
	t.mu.Lock()
	t.standing.lastHeard = now
	if r, ok := t.records[from]; ok {
		r.linked = !r.ended()
		r.heard, r.silent, r.limit = now, now, SuspectAfter
	}
	if !t.standing.held && acked >= t.self.Incarnation {
		t.regainStanding("acknowledged by " + string(from))
		t.publish(nil, "")
	}
	t.mu.Unlock()
	t.deliver()
}

// HandleLinkClosed notes that the last link with a peer ended in order: its silence no
// longer means that it died. Successors stay watched.
func (t *Table) HandleLinkClosed(peer Name) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[peer]; ok {
		r.linked = false
	}
}

// AnnounceLeaving announces that this daemon is leaving. The new incarnation outranks
// any suspicion under way, under which it would own slots again.
func (t *Table) AnnounceLeaving() {
	t.setSelf(func(m *Member) bool {
		if m.State != Alive {
			return false
		}
		m.Incarnation++
		m.State = Leaving
		return true
	})
}

// AnnounceLeft announces that this daemon has left.
func (t *Table) AnnounceLeft() {
	t.setSelf(func(m *Member) bool {
		ended := m.State == Left
		m.State = Left
		return !ended
	})
}

func (t *Table) setSelf(change func(m *Member) bool) {
	t.mu.Lock()
	if change(&t.self) {
		t.publish([]Member{t.self}, "")
	}
	t.mu.Unlock()
	t.deliver()
}

// Prune removes members that are absent from the platform's VM list. The list
// lags, so only members go that have been dead or left for RemovalDelay; one
// that still sends heartbeats never does.
func (t *Table) Prune(listed map[Name]bool) { t.prune(listed, time.Now()) }

func (t *Table) prune(listed map[Name]bool, now time.Time) {
	t.mu.Lock()
	forgotten := t.forget(func(r *record) bool {
		return !listed[r.Name] && r.ended() &&
			now.Sub(r.since) >= RemovalDelay && now.Sub(r.heard) >= RemovalDelay
	})
	if forgotten {
		t.publish(nil, "")
	}
	t.mu.Unlock()
	t.deliver()
}
