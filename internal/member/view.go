package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// View is an immutable picture of all members that a daemon knows.
type View struct {
	// Self is the daemon's own record.
	Self Member
	// Members holds every known record in ring order, the daemon's own and
	// those of dead and left members included. It must not be changed.
	Members []Member
	// Eligible tells whether the daemon may decide about flows. Code on the
	// packet path asks Table.Eligible, which also notices a pause that the
	// table's own loop has not noticed yet.
	Eligible bool

	hashes []uint64 // ring positions of Members
}

// NewView returns a View of the given records, for code that has them from
// elsewhere than a Table. It sorts members in place.
func NewView(self Member, members []Member, standing bool) *View {
	slices.SortFunc(members, func(a, b Member) int { return compareRing(a.Name, b.Name) })
	return newView(self, members, standing)
}

// newView takes members in ring order.
func newView(self Member, members []Member, standing bool) *View {
	v := &View{Self: self, Members: members, Eligible: standing, hashes: make([]uint64, len(members))}
	for i, m := range members {
		v.hashes[i] = ringHash(m.Name)
	}
	return v
}

func ringHash(n Name) uint64 { return xxhash.Sum64String(string(n)) }

func compareRing(a, b Name) int {
	return cmp.Or(cmp.Compare(ringHash(a), ringHash(b)), cmp.Compare(a, b))
}

// ended reports whether the VM is believed to be gone.
func (m Member) ended() bool { return m.State == Dead || m.State == Left }

// Get returns the record with this name.
func (v *View) Get(n Name) (Member, bool) {
	i := v.position(n)
	if i == len(v.Members) || v.Members[i].Name != n {
		return Member{}, false
	}
	return v.Members[i], true
}

// position returns the index of n, or of the next member on the ring.
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
