package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// LinkCount is the number of ring successors that a member links to. With
	// three, two of them can fail at once without splitting the ring.
	LinkCount = 3
	// maxLinkTargets bounds the links while successors are suspected.
	maxLinkTargets = 8
	// WatchersPerZone is how many members of a zone watch the store's tables;
	// the second one makes up for the first one's death without delay.
	WatchersPerZone = 2
)

// after calls visit for each member that follows n on the ring, until visit
// returns false. n itself is skipped and need not be a member.
func (v *View) after(n Name, visit func(Member) bool) {
	count, start := len(v.Members), v.position(n)
	for i := range count {
		m := v.Members[(start+i)%count]
		if m.Name != n && !visit(m) {
			return
		}
	}
}

// Successors returns the members that this daemon links to: its next
// LinkCount live ring successors, the last one replaced by the next member of
// another zone if none of them is in one. Suspected successors that precede
// them are included, so that the search for a replacement does not wait until
// a suspected member is declared dead.
func (v *View) Successors() []Member {
	var targets []Member
	live, foreign := 0, false
	v.after(v.Self.Name, func(m Member) bool {
		if m.ended() {
			return true
		}
		other := m.Zone != v.Self.Zone
		if live >= LinkCount-1 && !foreign && !other && v.hasOtherZone() {
			return true // the last place is kept for another zone
		}
		targets = append(targets, m)
		if m.State != Suspect {
			live++
			foreign = foreign || other
		}
		return live < LinkCount && len(targets) < maxLinkTargets
	})
	return targets
}

// hasOtherZone reports whether a member of another zone can be linked to.
func (v *View) hasOtherZone() bool {
	return slices.ContainsFunc(v.Members, func(m Member) bool {
		return m.Zone != v.Self.Zone && !m.ended() && m.State != Suspect
	})
}

// Backup returns the member that stores the exceptions of n: the next serving
// member on the ring in another zone than n's, or the next one if no other
// zone serves. It depends only on the records, so every daemon with the same
// records finds the same member, also for an n that is dead. An unknown n has
// no backup.
func (v *View) Backup(n Name) (Member, bool) {
	owner, known := v.Get(n)
	if !known {
		return Member{}, false
	}
	var first, foreign *Member
	v.after(n, func(m Member) bool {
		if !m.Serves() {
			return true
		}
		if first == nil {
			first = &m
		}
		if m.Zone != owner.Zone {
			foreign = &m
		}
		return foreign == nil
	})
	if backup := cmp.Or(foreign, first); backup != nil {
		return *backup, true
	}
	return Member{}, false
}

// Watchers returns the members of a zone that watch the store's tables: the
// live ones with the highest rendezvous scores for the word "watcher".
func (v *View) Watchers(zone string) []Member {
	type scored struct {
		member Member
		score  uint64
	}
	var candidates []scored
	for _, m := range v.Members {
		if m.Zone == zone && m.State == Alive {
			candidates = append(candidates, scored{m, xxhash.Sum64String("watcher/" + string(m.Name))})
		}
	}
	slices.SortFunc(candidates, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Name, b.member.Name))
	})
	var watchers []Member
	for _, c := range candidates[:min(len(candidates), WatchersPerZone)] {
		watchers = append(watchers, c.member)
	}
	return watchers
}

// ShouldWatch reports whether this daemon is a watcher of its zone.
func (v *View) ShouldWatch() bool {
	return slices.ContainsFunc(v.Watchers(v.Self.Zone), func(m Member) bool { return m.Name == v.Self.Name })
}
