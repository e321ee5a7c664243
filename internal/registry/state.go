package registry

import "time"

// tombstoneTTL is how long deleted items are kept with their last value. Peers
// that are behind learn of deletions from them, and starting ones which servers
// have been deleted recently. A peer that is further behind gets a complete reading.
const tombstoneTTL = time.Minute

// State is a copy of the store's items. It merges readings, which may overlap,
// repeat each other or arrive out of order, and returns the changes that a peer
// lacks. It is not safe for concurrent use.
type State struct {
	revision uint64
	items    map[string]Item
	// incompleteUpTo is the revision up to which deletions may be missing, because
	// tombstones were dropped or the items come from a listing.
	incompleteUpTo uint64
}

// NewState returns a State without items.
func NewState() *State { return &State{items: map[string]Item{}} }

// Revision returns the revision up to which all changes are known.
func (s *State) Revision() uint64 { return s.revision }

// Merge applies the items that are newer than the state and returns them. Items up
// to the state's own revision are ignored: the state already includes every change
// up to there, so it lacks such an item only if that was deleted since.
func (s *State) Merge(r Reading, now time.Time) []Item {
	var changed []Item
	present := make(map[string]bool, len(r.Items))
	for _, i := range r.Items {
		present[i.Key] = true
		if i.Revision > max(s.revision, s.items[i.Key].Revision) {
			if i.Deleted && len(i.Value) == 0 {
				i.Value = s.items[i.Key].Value
			}
			s.items[i.Key] = i
			changed = append(changed, i)
		}
	}
	if r.Complete {
		changed = append(changed, s.removeAbsent(present, r.Revision, now)...)
		if r.Revision > s.revision {
			s.incompleteUpTo = r.Revision
		}
	}
	s.revision = max(s.revision, r.Revision)
	s.pruneTombstones(now)
	return changed
}

// removeAbsent replaces the items that a complete reading of a revision lacks by
// tombstones, unless they are newer than the reading. It returns the tombstones.
func (s *State) removeAbsent(present map[string]bool, revision uint64, now time.Time) []Item {
	var changed []Item
	for key, i := range s.items {
		if present[key] || i.Deleted || i.Revision > revision {
			continue
		}
		tombstone := Item{Key: key, Value: i.Value, Revision: revision, Created: i.Created, Deleted: true, ReadAt: now}
		s.items[key] = tombstone
		changed = append(changed, tombstone)
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

// ChangesSince returns the changes after a revision, or a complete reading if
// have is 0 or deletions after it may be missing.
func (s *State) ChangesSince(have uint64) Reading {
	r := Reading{Revision: s.revision, Complete: have < s.incompleteUpTo || have == 0}
	for _, i := range s.items {
		if r.Complete || i.Revision > have {
			r.Items = append(r.Items, i)
		}
	}
	return r
}
