package registry

import (
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
}

// NewState returns a State without items.
func NewState() *State { return &State{items: map[string]Item{}} }

// Position returns the position up to which all changes are known.
func (s *State) Position() directory.Position { return s.position }

// Merge applies the items that are newer than the state and returns them. Items up
// to the state's own revision are ignored: the state already includes every change
// up to there, so it lacks such an item only if that was deleted since. Readings of
// an earlier era are ignored, and incomplete ones of a later era, because revisions of
// different eras do not compare.
func (s *State) Merge(r Reading, now time.Time) []Item {
	switch {
	case r.Era < s.position.Era, r.Era > s.position.Era && !r.Complete:
		return nil
	case r.Era > s.position.Era:
		return s.enterEra(r, now)
	}
	var changed []Item
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
	return changed
}

// enterEra replaces the items by those of a complete reading of a later era and returns
// all items, with tombstones for those that the reading lacks.
func (s *State) enterEra(r Reading, now time.Time) []Item {
	old := s.items
	s.position, s.incompleteUpTo = r.Position, r.Revision
	s.items = make(map[string]Item, len(r.Items))
	changed := make([]Item, 0, len(r.Items))
	for _, i := range r.Items {
		if i.Deleted && len(i.Value) == 0 {
			i.Value = old[i.Key].Value
		}
		s.items[i.Key] = i
		changed = append(changed, i)
	}
	for key, i := range old {
		if _, present := s.items[key]; present {
			continue
		}
		wasDeleted := i.Deleted
		i.Revision = r.Revision
		if !wasDeleted {
			i = tombstone(i, r.Revision, now)
			changed = append(changed, i)
		}
		s.items[key] = i
	}
	s.pruneTombstones(now)
	return changed
}

// tombstone returns the tombstone of an item that a reading of a revision lacks.
func tombstone(i Item, revision uint64, now time.Time) Item {
	return Item{Key: i.Key, Value: i.Value, Revision: revision, Created: i.Created, Deleted: true, ReadAt: now}
}

// removeAbsent replaces the items that a complete reading of a revision lacks by
// tombstones, unless they are newer than the reading. It returns the tombstones.
func (s *State) removeAbsent(present map[string]bool, revision uint64, now time.Time) []Item {
	var changed []Item
	for key, i := range s.items {
		if present[key] || i.Deleted || i.Revision > revision {
			continue
		}
		s.items[key] = tombstone(i, revision, now)
		changed = append(changed, s.items[key])
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
