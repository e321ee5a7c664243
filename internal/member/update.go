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
	// unknown is the state of a member without a record.
	unknown State = -1
	// refutationRate and refutationBurst limit how often this daemon raises its
	// incarnation. Without a limit, two VMs with the same name would refute each
	// other's records as fast as the network allows.
	refutationRate  rate.Limit = 4 // per second
	refutationBurst int        = 8
)

// Apply merges records that were received from a peer.
func (t *Table) Apply(from Name, records []Member) { t.apply(from, records, time.Now()) }

func (t *Table) apply(from Name, records []Member, now time.Time) {
	t.mu.Lock()
	var changed []Member
	for _, m := range records {
		if m.Region != t.self.Region {
			t.cfg.Metrics.Refused(metrics.PeerNotMember)
			continue
		}
		var updated Member
		var ok bool
		if m.Name == t.self.Name {
			updated, ok = t.refute(m, now)
		} else {
			updated, ok = t.merge(m, now)
		}
		if ok {
			changed = append(changed, updated)
		}
	}
	if len(changed) > 0 {
		t.publish(changed, from)
	}
	t.mu.Unlock()
	t.deliver()
}

// refute raises this daemon's incarnation if m, a record of this daemon from a peer,
// would replace its own record. m may be a suspicion, a death, or a record of an
// earlier process whose clock was ahead. refute returns this daemon's new record, or
// false if it changed nothing. If the rate limit prevents a refutation, peers send m
// again after the next heartbeats.
func (t *Table) refute(m Member, now time.Time) (Member, bool) {
	if t.self.State == Left || Compare(m, t.self) <= 0 || !t.refutationLimiter.AllowN(now, 1) {
		return Member{}, false
	}
	t.self.Incarnation = m.Incarnation + 1
	t.cfg.Events.Log(events.SuspicionRefuted, zap.Uint64("incarnation", t.self.Incarnation),
		zap.Stringer("state", m.State))
	return t.self, true
}

// merge applies m if it is newer than the known record of the member. It returns the
// applied record, or false if it changed nothing. If m declares a serving member dead,
// the member is only suspected: after a partition, the other side may have declared
// members dead that are alive on this side, and these must be able to refute before
// their slots move. This daemon declares a suspected member dead when its own timer
// expires.
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

// add adds the first record of a member, unless the member has already left. It
// returns false if it did not add the record.
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

// HandleHeartbeat records a heartbeat from a peer. acked is the newest incarnation
// of this daemon that the peer considers alive. If it is the current one, an
// ineligible daemon becomes eligible.
func (t *Table) HandleHeartbeat(from Name, acked uint64) { t.handleHeartbeat(from, acked, time.Now()) }

func (t *Table) handleHeartbeat(from Name, acked uint64, now time.Time) {
	t.mu.Lock()
	t.eligibility.lastHeartbeat = now
	if r, ok := t.records[from]; ok {
		r.linked = !r.gone()
		r.lastHeartbeat, r.silentSince, r.silenceTimeout = now, now, SuspectAfter
	}
	if !t.eligibility.granted && acked >= t.self.Incarnation {
		t.grantEligibility("acknowledged by " + string(from))
		t.publish(nil, "")
	}
	t.mu.Unlock()
	t.deliver()
}

// HandleLinkClosed records that the last link with a peer was closed cleanly. The
// peer's silence then does not raise a suspicion, unless it is a ring successor.
func (t *Table) HandleLinkClosed(peer Name) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[peer]; ok {
		r.linked = false
	}
}

// AnnounceLeaving announces that this daemon is leaving. It raises the incarnation,
// because a suspicion of the current one would replace the leaving state and give
// the daemon its slots back.
func (t *Table) AnnounceLeaving() {
	t.updateSelf(func(m *Member) bool {
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
	t.updateSelf(func(m *Member) bool {
		alreadyLeft := m.State == Left
		m.State = Left
		return !alreadyLeft
	})
}

// updateSelf applies change to this daemon's record and announces the result if
// change returns true.
func (t *Table) updateSelf(change func(m *Member) bool) {
	t.mu.Lock()
	if change(&t.self) {
		t.publish([]Member{t.self}, "")
	}
	t.mu.Unlock()
	t.deliver()
}

// Prune removes members that are not in the platform's VM list. Because the list
// lags, it removes only members that have been dead or have left for at least
// RemovalDelay, and that have sent no heartbeat during this time.
func (t *Table) Prune(listed map[Name]bool) { t.prune(listed, time.Now()) }

func (t *Table) prune(listed map[Name]bool, now time.Time) {
	t.mu.Lock()
	removed := t.removeRecords(func(r *record) bool {
		return !listed[r.Name] && r.gone() &&
			now.Sub(r.stateSince) >= RemovalDelay && now.Sub(r.lastHeartbeat) >= RemovalDelay
	})
	if removed {
		t.publish(nil, "")
	}
	t.mu.Unlock()
	t.deliver()
}
