package forward

import (
	"net/netip"
	"time"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/owner"
)

// Tracker makes a View of each new member.View and records which members owned
// the slots before. It is not safe for concurrent use.
type Tracker struct {
	current *owner.Map
	last    *member.View
	changes []trackedChange
}

// trackedChange is a change of the ownership map. Its holders, the daemons that
// know the flows of the former owners, are resolved for each View, because they
// change with the members.
type trackedChange struct {
	at     time.Time
	before *owner.Map
	// view is the view of the members before the change, which determines their
	// backups.
	view *member.View
}

// NewTracker returns a Tracker that knows no members.
func NewTracker() *Tracker { return newTracker(owner.NewMap(nil)) }

func newTracker(empty *owner.Map) *Tracker { return &Tracker{current: empty} }

// Update returns the View for a new view of the members.
func (t *Tracker) Update(v *member.View, now time.Time) *View {
	next := t.current.With(candidates(v))
	if t.last != nil && !sameMembers(t.current, next) {
		t.changes = append(t.changes, trackedChange{at: now, before: t.current, view: t.last})
	}
	t.current, t.last = next, v
	t.prune(now)
	return t.view(v)
}

// candidates returns the members that own slots. A daemon that is not eligible
// excludes itself, so that it forwards packets to the others.
func candidates(v *member.View) []owner.Candidate {
	var out []owner.Candidate
	for _, m := range v.Serving() {
		if m.Name == v.Self.Name && !v.Eligible {
			continue
		}
		out = append(out, owner.Candidate{Name: m.Name, Capacity: m.Capacity})
	}
	return out
}

// sameMembers reports whether both maps have the same members and capacities.
func sameMembers(a, b *owner.Map) bool {
	if len(a.Members()) != len(b.Members()) {
		return false
	}
	for _, c := range a.Members() {
		i := b.Index(c.Name)
		if i == owner.NoOwner || b.Members()[i].Capacity != c.Capacity {
			return false
		}
	}
	return true
}

// prune removes changes older than SettlingPeriod.
func (t *Tracker) prune(now time.Time) {
	kept := t.changes[:0]
	for _, c := range t.changes {
		if now.Sub(c.at) <= SettlingPeriod {
			kept = append(kept, c)
		}
	}
	t.changes = kept
}

// view returns the View for the current map and changes.
func (t *Tracker) view(v *member.View) *View {
	out := &View{
		Self: v.Self.Name, SelfDataAddr: v.Self.Data, Eligible: v.Eligible, Map: t.current,
		Peers: make(map[netip.AddrPort]struct{}),
	}
	for _, c := range t.current.Members() {
		m, _ := v.Get(c.Name)
		out.DataAddrs = append(out.DataAddrs, m.Data)
	}
	for _, m := range v.Members {
		if m.State != member.Left && m.Data.IsValid() {
			out.Peers[m.Data] = struct{}{}
		}
	}
	for i := len(t.changes) - 1; i >= 0; i-- {
		out.OwnershipChanges = append(out.OwnershipChanges, t.changes[i].resolve(v))
	}
	return out
}

// resolve determines which daemon knows the flows of each former owner: the
// owner itself while it is reachable, or else the backup that it had.
func (c trackedChange) resolve(v *member.View) OwnershipChange {
	change := OwnershipChange{At: c.at, Before: c.before, Holders: make([]netip.AddrPort, len(c.before.Members()))}
	for i, former := range c.before.Members() {
		if holder, ok := c.holder(former.Name, v); ok {
			change.Holders[i] = holder.Data
		}
	}
	return change
}

// holder returns the member that knows the flows of the former owner name.
func (c trackedChange) holder(name member.Name, v *member.View) (member.Member, bool) {
	if former, ok := v.Get(name); ok && reachable(former) {
		return former, true
	}
	backup, ok := c.view.Backup(name)
	if !ok {
		return member.Member{}, false
	}
	current, ok := v.Get(backup.Name)
	return current, ok && reachable(current)
}

// reachable reports whether the member can be asked about flows, which includes
// leaving members.
func reachable(m member.Member) bool {
	return m.Serves() || m.State == member.Leaving
}
