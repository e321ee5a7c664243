package registry

import "time"

// tombstoneTTL is how long deleted items are remembered with their last value, to
// tell peers that have fallen behind, and starting ones which servers have vanished.
// A peer that is further behind gets a complete reading.
const tombstoneTTL = time.Minute

// State merges readings that may overlap, repeat each other or arrive out of
// order, and answers peers from what it holds. It is not safe for concurrent
// use.
type State struct {
	revision uint64
	items    map[string]Item
	// forgotten is the highest revision up to which deletions may be unknown: a
	// tombstone was dropped, or the state was listed.
	forgotten uint64
}

// NewState returns a State without items.
func NewState() *State { return &State{items: map[string]Item{}} }

// Revision returns the revision up to which all changes are known.
func (s *State) Revision() uint64 { return s.revision }

// Merge takes over what is newer than the state and returns it. The state knows
// every change up to its revision, so an older item that it lacks was deleted.
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
			s.forgotten = r.Revision
		}
	}
	s.revision = max(s.revision, r.Revision)
	s.prune(now)
	return changed
}

// removeAbsent deletes the items that a complete reading does not have, unless
// they are newer than the reading.
func (s *State) removeAbsent(present map[string]bool, revision uint64, now time.Time) []Item {
	var changed []Item
	for key, i := range s.items {
		if present[key] || i.Deleted || i.Revision > revision {
			continue
		}
		gone := Item{Key: key, Value: i.Value, Revision: revision, Created: i.Created, Deleted: true, ReadAt: now}
		s.items[key] = gone
		changed = append(changed, gone)
	}
	return changed
}

func (s *State) prune(now time.Time) {
	for key, i := range s.items {
		if i.Deleted && now.Sub(i.ReadAt) > tombstoneTTL {
			s.forgotten = max(s.forgotten, i.Revision)
			delete(s.items, key)
		}
	}
}

// ChangesSince returns what a peer with a revision lacks.
func (s *State) ChangesSince(have uint64) Reading {
	r := Reading{Revision: s.revision, Complete: have < s.forgotten || have == 0}
	for _, i := range s.items {
		if r.Complete || i.Revision > have {
			r.Items = append(r.Items, i)
		}
	}
	return r
}
