package member

import (
	"cmp"
	"strings"
)

// Compare compares two records of one member. The greater record replaces the
// other. Records are ordered by incarnation, then by state. Records that agree
// in both but not in other fields come from two VMs with the same name. The other
// fields then decide, so that all daemons keep the same record.
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
