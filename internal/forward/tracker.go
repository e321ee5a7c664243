package forward

import (
	"net/netip"
	"time"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/owner"
)

// Tracker turns successive pictures of the members into Views, and remembers
// who held each slot before. It is not safe for concurrent use.
type Tracker struct {
	current *owner.Map
	last    *member.View
	moves   []trackedMove
}

type trackedMove struct {
	at     time.Time
	before *owner.Map
	// view is the picture of the members at that time: it tells the backups.
	view *member.View
}

// NewTracker returns a Tracker that knows no members.
func NewTracker() *Tracker { return newTracker(owner.NewMap(nil)) }

func newTracker(empty *owner.Map) *Tracker { return &Tracker{current: empty} }

// Update returns the View for a new picture of the members.
func (t *Tracker) Update(v *member.View, now time.Time) *View {
	next := t.current.With(candidates(v))
	if t.last != nil && !sameMembers(t.current, next) {
		t.moves = append(t.moves, trackedMove{at: now, before: t.current, view: t.last})
	}
	t.current, t.last = next, v
	t.prune(now)
	return t.view(v)
}

// candidates returns the members that own slots. A daemon without standing
// does not count itself, so that it passes packets on to the others.
func candidates(v *member.View) []owner.Candidate {
	var out []owner.Candidate
	for _, m := range v.Serving() {
		if m.Name == v.Self.Name && !v.Standing {
			continue
		}
		out = append(out, owner.Candidate{Name: m.Name, Capacity: m.Capacity})
	}
	return out
}

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

func (t *Tracker) prune(now time.Time) {
	kept := t.moves[:0]
	for _, m := range t.moves {
		if now.Sub(m.at) <= SettlingPeriod {
			kept = append(kept, m)
		}
	}
	t.moves = kept
}

func (t *Tracker) view(v *member.View) *View {
	out := &View{
		Self: v.Self.Name, SelfDataAddr: v.Self.Data, Eligible: v.Standing, Map: t.current,
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
	for i := len(t.moves) - 1; i >= 0; i-- {
		out.OwnershipChanges = append(out.OwnershipChanges, t.moves[i].resolve(v))
	}
	return out
}

// resolve finds out who knows the flows of each former owner: the owner while
// it lives, else the backup that it had.
func (m trackedMove) resolve(v *member.View) OwnershipChange {
	move := OwnershipChange{At: m.at, Before: m.before, Holders: make([]netip.AddrPort, len(m.before.Members()))}
	for i, c := range m.before.Members() {
		if holder, ok := m.holder(c.Name, v); ok {
			move.Holders[i] = holder.Data
		}
	}
	return move
}

func (m trackedMove) holder(name member.Name, v *member.View) (member.Member, bool) {
	if was, ok := v.Get(name); ok && present(was) {
		return was, true
	}
	backup, ok := m.view.Backup(name)
	if !ok {
		return member.Member{}, false
	}
	now, ok := v.Get(backup.Name)
	return now, ok && present(now)
}

// present reports whether the VM is there to be asked; a leaving one still is.
func present(m member.Member) bool {
	return m.Serves() || m.State == member.Leaving
}
