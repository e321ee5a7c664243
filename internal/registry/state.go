package registry

import (
	"bytes"
	"time"

	"knapweedshore.example/internal/directory"
)

// tombstoneTTL is how long deleted items are kept with their last value. Peers
// that are behind learn of deletions from them, and starting ones which servers
// have been deleted recently. A peer that is further behind gets a complete reading.
const tombstoneTTL = time.Minute

// State is a copy of the store's items. It merges readings, which may overlap,
// repeat each other or arrive out of order, and returns the changes that a peer
// lacks. It is not safe for concurrent use.
type State struct {
	position directory.Position
	// items holds the items with their revisions in the era of position.
	items map[string]Item
	// incompleteUpTo is the revision up to which deletions may be missing, because
	// tombstones were dropped or the items come from a listing.
	incompleteUpTo uint64
	// supersedes reports whether next, an item of a later era or a tombstone for its
	// absence, was written after the known item with the same key.
	supersedes func(next, known Item) bool
}

// NewState returns a State without items. The function supersedes decides which items are
// replaced when the store was restored.
func NewState(supersedes func(next, known Item) bool) *State {
	return &State{items: map[string]Item{}, supersedes: supersedes}
}

// Position returns the position up to which all changes are known.
func (s *State) Position() directory.Position { return s.position }

// Merge applies the items that are newer than the state and returns them. Items up
// to the state's own revision are ignored: the state already includes every change
// up to there, so it lacks such an item only if that was deleted since.
//
// Readings of an earlier era are ignored, and incomplete ones of a later era, because
// revisions of different eras do not compare. A complete one of a later era replaces the
// items, except those that the restored store has lost or has older values of. Merge returns
// their number as kept.
func (s *State) Merge(r Reading, now time.Time) (changed []Item, kept int) {
	switch {
	case r.Era < s.position.Era, r.Era > s.position.Era && !r.Complete:
		return nil, 0
	case r.Era > s.position.Era:
		return s.enterEra(r, now)
	}
	present := make(map[string]bool, len(r.Items))
	for _, i := range r.Items {
		present[i.Key] = !i.Deleted
		if i.Revision > max(s.position.Revision, s.items[i.Key].Revision) {
			if i.Deleted && len(i.Value) == 0 {
				i.Value = s.items[i.Key].Value
			}
			s.items[i.Key] = i
			changed = append(changed, i)
		}
	}
	if r.Complete {
		changed = append(changed, s.removeAbsent(present, r.Revision, now)...)
		if r.Revision > s.position.Revision {
			s.incompleteUpTo = r.Revision
		}
	}
	s.position.Revision = max(s.position.Revision, r.Revision)
	s.pruneTombstones(now)
	return changed, 0
}

// enterEra is Merge for a complete reading of a later era. A known item that is kept stays
// until the item changes in the new era.
func (s *State) enterEra(r Reading, now time.Time) (changed []Item, kept int) {
	old := s.items
	s.position, s.incompleteUpTo = r.Position, r.Revision
	s.items = make(map[string]Item, len(r.Items))
	for _, i := range r.Items {
		known, isKnown := old[i.Key]
		if isKnown && !s.supersedes(i, known) {
			known.Revision, known.Created, known.Lease = i.Revision, i.Created, i.Lease
			if i.Deleted != known.Deleted || !bytes.Equal(i.Value, known.Value) {
				kept++
			}
			i = known
		}
		if i.Deleted && len(i.Value) == 0 {
			i.Value = known.Value
		}
		s.items[i.Key] = i
		if !i.Deleted || !known.Deleted {
			changed = append(changed, i)
		}
	}
	for key, i := range old {
		if _, present := s.items[key]; present {
			continue
		}
		i.Revision = r.Revision
		tombstone := tombstoneOf(i, r.Revision, now)
		tombstone.Lost = true
		switch {
		case i.Deleted:
		case s.supersedes(tombstone, i):
			i = tombstone
			changed = append(changed, i)
		default:
			kept++
			i.Lost = true
			changed = append(changed, i)
		}
		s.items[key] = i
	}
	s.pruneTombstones(now)
	return changed, kept
}

// tombstoneOf returns the tombstone of an item that a reading of a revision lacks.
func tombstoneOf(i Item, revision uint64, now time.Time) Item {
	return Item{Key: i.Key, Value: i.Value, Revision: revision, Created: i.Created, Deleted: true, ReadAt: now}
}

// removeAbsent replaces the items that a complete reading of a revision lacks by
// tombstones, unless they are newer than the reading or were kept from an earlier era. It
// returns the tombstones.
func (s *State) removeAbsent(present map[string]bool, revision uint64, now time.Time) []Item {
	var changed []Item
	for key, i := range s.items {
		if present[key] || i.Deleted || i.Revision > revision {
			continue
		}
		tombstone := tombstoneOf(i, revision, now)
		tombstone.Lost = i.Lost
		if s.supersedes(tombstone, i) {
			s.items[key] = tombstone
			changed = append(changed, tombstone)
		}
	}
	return changed
}

// pruneTombstones drops the tombstones that are older than tombstoneTTL.
func (s *State) pruneTombstones(now time.Time) {
	for key, i := range s.items {
		if i.Deleted && now.Sub(i.ReadAt) > tombstoneTTL {
			s.incompleteUpTo = max(s.incompleteUpTo, i.Revision)
			delete(s.items, key)
		}
	}
}

// ChangesSince returns the changes after a position, or a complete reading if nothing
// is known there, if it belongs to an earlier era, or if deletions after it may be missing.
func (s *State) ChangesSince(have directory.Position) Reading {
	r := Reading{
		Position: s.position,
		Complete: have.IsZero() || have.Era < s.position.Era || have.Revision < s.incompleteUpTo,
	}
	if have.Era > s.position.Era {
		return Reading{Position: s.position}
	}
	for _, i := range s.items {
		if r.Complete || i.Revision > have.Revision {
			r.Items = append(r.Items, i)
		}
	}
	return r
}
