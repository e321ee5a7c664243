package registry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"knapweedshore.example/internal/directory"
)

// history holds all changes of a store, so that every past state can be read.
type history struct{ events []Item }

func (h *history) add(i Item) {
	i.Revision = uint64(len(h.events) + 1)
	h.events = append(h.events, i)
}

// at returns the revision of each key that exists at a revision of the store.
func (h *history) at(revision uint64) map[string]uint64 {
	state := map[string]uint64{}
	for _, i := range h.events[:revision] {
		if i.Deleted {
			delete(state, i.Key)
		} else {
			state[i.Key] = i.Revision
		}
	}
	return state
}

// list returns a complete reading of a revision.
func (h *history) list(revision uint64) Reading {
	r := Reading{Position: directory.Position{Revision: revision}, Complete: true}
	for key, rev := range h.at(revision) {
		r.Items = append(r.Items, Item{Key: key, Revision: rev})
	}
	return r
}

// changes returns the changes after one revision up to another.
func (h *history) changes(after, upTo uint64) Reading {
	return Reading{Position: directory.Position{Revision: upTo}, Items: h.events[after:upTo]}
}

// replaceAlways lets each item of a restored store replace the known one.
func replaceAlways(_, _ Item) bool { return true }

// live returns the revisions of the items that are not deleted, by key.
func live(s *State) map[string]uint64 {
	out := map[string]uint64{}
	for key, i := range s.items {
		if !i.Deleted {
			out[key] = i.Revision
		}
	}
	return out
}

// Guards against a state that differs from the store or goes back to an older position
// after any sequence of listings, watches and responses of peers, old and new ones mixed,
// while the store is restored from backups.
func TestStateFollowsTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var eras []history
		for range rapid.IntRange(1, 3).Draw(t, "eras") {
			var h history
			if len(eras) > 0 {
				last := eras[len(eras)-1].events
				h.events = slices.Clone(last[:rapid.IntRange(1, len(last)).Draw(t, "revision of the backup")])
			}
			for range rapid.IntRange(1, 40).Draw(t, "events") {
				key := fmt.Sprint("k", rapid.IntRange(0, 4).Draw(t, "key"))
				_, exists := h.at(uint64(len(h.events)))[key]
				h.add(Item{Key: key, Deleted: exists && rapid.Bool().Draw(t, "delete")})
			}
			eras = append(eras, h)
		}
		now := time.Unix(0, 0)
		states := []*State{NewState(replaceAlways), NewState(replaceAlways), NewState(replaceAlways)}
		for range rapid.IntRange(1, 40).Draw(t, "readings") {
			s := states[rapid.IntRange(0, 2).Draw(t, "state")]
			before := s.Position()
			era := rapid.IntRange(0, len(eras)-1).Draw(t, "era")
			h, newest := eras[era], uint64(len(eras[era].events))
			var r Reading
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				r = h.list(rapid.Uint64Range(1, newest).Draw(t, "revision"))
				r.Era = uint64(era)
			case 1:
				after := rapid.Uint64Range(0, min(before.Revision, newest)).Draw(t, "after")
				r = h.changes(after, rapid.Uint64Range(after, newest).Draw(t, "upTo"))
				r.Era = uint64(era)
			case 2:
				r = states[rapid.IntRange(0, 2).Draw(t, "peer")].ChangesSince(before)
			}
			s.Merge(r, now)
			if before.IsAfter(s.Position()) {
				t.Fatalf("position went from %s back to %s", before, s.Position())
			}
			if got, want := fmt.Sprint(live(s)), fmt.Sprint(eras[s.Position().Era].at(s.Position().Revision)); got != want {
				t.Fatalf("at position %s: got %s, want %s", s.Position(), got, want)
			}
			now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Second, 2 * tombstoneTTL}).Draw(t, "pause"))
		}
	})
}

// Guards against a peer that never learns of a deletion because the tombstone
// was dropped: it gets a complete reading.
func TestSinceAfterTombstonesWereDropped(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	s := NewState(replaceAlways)
	s.Merge(Reading{Position: directory.Position{Revision: 2}, Items: []Item{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}}}, now)
	s.Merge(Reading{Position: directory.Position{Revision: 3}, Items: []Item{{Key: "a", Revision: 3, Deleted: true, ReadAt: now}}}, now)
	r := s.ChangesSince(directory.Position{Revision: 2})
	is.True(!r.Complete)
	is.Equal(len(r.Items), 1)
	s.Merge(Reading{Position: directory.Position{Revision: 3}}, now.Add(tombstoneTTL+time.Second))
	r = s.ChangesSince(directory.Position{Revision: 2})
	is.True(r.Complete)
	is.Equal(len(r.Items), 1)
	is.Equal(r.Items[0].Key, "b")
	is.True(!s.ChangesSince(directory.Position{Revision: 3}).Complete)
}

// Guards against a server that a complete reading of a peer brings back, because the peer
// has only the tombstone of an earlier registration.
func TestTombstoneInACompleteReadingKeepsNothing(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	peer, s := NewState(replaceAlways), NewState(replaceAlways)
	peer.Merge(Reading{Position: directory.Position{Revision: 2}, Complete: true, Items: []Item{{Key: "a", Revision: 2}}}, now)
	peer.Merge(Reading{Position: directory.Position{Revision: 3}, Items: []Item{{Key: "a", Revision: 3, Deleted: true, ReadAt: now}}}, now)
	s.Merge(Reading{Position: directory.Position{Revision: 4}, Items: []Item{{Key: "a", Revision: 4}}}, now)
	// The peer lists the store after a was deleted again, as revision 5.
	peer.Merge(Reading{Position: directory.Position{Revision: 6}, Complete: true, Items: []Item{{Key: "b", Revision: 6}}}, now)
	s.Merge(peer.ChangesSince(s.Position()), now)
	is.Equal(live(s), map[string]uint64{"b": 6})
}
