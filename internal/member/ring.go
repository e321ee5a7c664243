package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// LinkCount is the number of ring successors that a member links to. With 3,
	// two of them can fail at the same time without splitting the ring.
	LinkCount = 3
	// maxLinkTargets limits the links while some successors are suspected.
	maxLinkTargets = 8
	// WatchersPerZone is the number of members in each zone that watch the tables
	// in the store. With 2, the death of one causes no delay.
	WatchersPerZone = 2
)

// visitAfter calls visit for each member after n in ring order, until visit
// returns false. It skips n itself, which need not be a member.
func (v *View) visitAfter(n Name, visit func(Member) bool) {
	count, start := len(v.Members), v.position(n)
	for i := range count {
		m := v.Members[(start+i)%count]
		if m.Name != n && !visit(m) {
			return
		}
	}
}

// Successors returns the members that this daemon links to: the next LinkCount
// members on the ring that are not suspected. If they are all in this daemon's
// zone, the last one is replaced by the next member of another zone. Suspected
// members before the last one are included but not counted, so that a
// replacement is linked before a suspected member is declared dead.
func (v *View) Successors() []Member {
	var targets []Member
	healthy, otherZoneLinked := 0, false
	v.visitAfter(v.Self.Name, func(m Member) bool {
		if m.gone() {
			return true
		}
		otherZone := m.Zone != v.Self.Zone
		if healthy >= LinkCount-1 && !otherZoneLinked && !otherZone && v.hasOtherZone() {
			return true // the last link is reserved for another zone
		}
		targets = append(targets, m)
		if m.State != Suspect {
			healthy++
			otherZoneLinked = otherZoneLinked || otherZone
		}
		return healthy < LinkCount && len(targets) < maxLinkTargets
	})
	return targets
}

// hasOtherZone reports whether another zone has a member that can be linked to
// and is not suspected.
func (v *View) hasOtherZone() bool {
	return slices.ContainsFunc(v.Members, func(m Member) bool {
		return m.Zone != v.Self.Zone && !m.gone() && m.State != Suspect
	})
}

// Backup returns the member that stores the exceptions of n: the next serving
// member on the ring outside n's zone, or the next serving member if there is
// none outside. The result depends only on the records, so all daemons with the
// same records agree on it, even if n is dead. It returns false if n is unknown
// or no other member serves.
func (v *View) Backup(n Name) (Member, bool) {
	owner, known := v.Get(n)
	if !known {
		return Member{}, false
	}
	var next, otherZone *Member
	v.visitAfter(n, func(m Member) bool {
		if !m.Serves() {
			return true
		}
		if next == nil {
			next = &m
		}
		if m.Zone != owner.Zone {
			otherZone = &m
		}
		return otherZone == nil
	})
	if backup := cmp.Or(otherZone, next); backup != nil {
		return *backup, true
	}
	return Member{}, false
}

// Watchers returns the members of a zone that watch the tables in the store: the
// WatchersPerZone alive ones with the highest rendezvous scores for the key
// "watcher".
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

// ShouldWatch reports whether this daemon is one of the watchers of its zone.
func (v *View) ShouldWatch() bool {
	return slices.ContainsFunc(v.Watchers(v.Self.Zone), func(m Member) bool { return m.Name == v.Self.Name })
}
