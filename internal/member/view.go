package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// View is an immutable snapshot of all members that a daemon knows.
type View struct {
	// Self is the daemon's own record.
	Self Member
	// Members holds all known records in ring order, including the daemon's own
	// and those of members that are dead or have left. It must not be changed.
	Members []Member
	// Eligible is true if the daemon may open flows and decide about them. Code
	// on the packet path calls Table.Eligible instead, which also detects a
	// pause that the table's loop has not detected yet.
	Eligible bool

	hashes []uint64 // ring positions of Members
}

// NewView returns a View of records that do not come from a Table. It sorts
// members in place.
func NewView(self Member, members []Member, eligible bool) *View {
	slices.SortFunc(members, func(a, b Member) int { return compareRing(a.Name, b.Name) })
	return newView(self, members, eligible)
}

// newView returns a View of members, which must be in ring order.
func newView(self Member, members []Member, eligible bool) *View {
	v := &View{Self: self, Members: members, Eligible: eligible, hashes: make([]uint64, len(members))}
	for i, m := range members {
		v.hashes[i] = ringHash(m.Name)
	}
	return v
}

func ringHash(n Name) uint64 { return xxhash.Sum64String(string(n)) }

func compareRing(a, b Name) int {
	return cmp.Or(cmp.Compare(ringHash(a), ringHash(b)), cmp.Compare(a, b))
}

// gone reports whether the member is dead or has left.
func (m Member) gone() bool { return m.State == Dead || m.State == Left }

// Get returns the record of the member with this name.
func (v *View) Get(n Name) (Member, bool) {
	i := v.position(n)
	if i == len(v.Members) || v.Members[i].Name != n {
		return Member{}, false
	}
	return v.Members[i], true
}

// position returns the index of n in Members. If n is unknown, it returns the
// index of the next member on the ring, or len(Members) after the last one.
func (v *View) position(n Name) int {
	i, _ := slices.BinarySearch(v.hashes, ringHash(n))
	for i < len(v.Members) && compareRing(v.Members[i].Name, n) < 0 {
		i++
	}
	return i
}

// Serving returns the members that own slots, in ring order.
func (v *View) Serving() []Member {
	out := make([]Member, 0, len(v.Members))
	for _, m := range v.Members {
		if m.Serves() {
			out = append(out, m)
		}
	}
	return out
}
