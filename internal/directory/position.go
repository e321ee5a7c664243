package directory

import (
	"cmp"
	"fmt"
)

// Position is a point in the history of the store. Within an era, changes have increasing
// revisions. A restore of the store from a backup begins the next era, which assigns
// revisions again that an earlier era has assigned to other changes.
type Position struct {
	Era, Revision uint64
}

// Compare returns a negative number if p is before q, zero if they are equal, and a
// positive number if p is after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// IsAfter reports whether p is after q.
func (p Position) IsAfter(q Position) bool { return p.Compare(q) > 0 }

// IsZero reports whether nothing has been read from the store. Revisions begin above 0.
func (p Position) IsZero() bool { return p.Revision == 0 }

// String returns the era and the revision, such as "2/31".
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }
