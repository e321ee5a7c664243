package member

import (
	"cmp"
	"strings"
)

// Compare orders two records of one member: the greater one replaces the
// other. The incarnation decides, then the state. Two records that still tie
// differ only if two VMs share a name; the remaining fields then decide, so
// that all daemons keep the same one.
func Compare(a, b Member) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.State, b.State),
		strings.Compare(a.Region, b.Region),
		strings.Compare(a.Zone, b.Zone),
		a.Control.Compare(b.Control),
		a.Data.Compare(b.Data),
		cmp.Compare(a.Capacity, b.Capacity),
	)
}

// Merge returns the greater of two records of one member. It is commutative,
// associative and idempotent, so the order in which records arrive does not
// matter.
func Merge(a, b Member) Member {
	if Compare(a, b) >= 0 {
		return a
	}
	return b
}
