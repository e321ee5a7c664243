package tables

import (
	"slices"

	"github.com/go-faster/errors"
)

// Limits of the head value. Compaction starts above the first two.
const (
	MaxHeadDeltaBytes = 64 * 1024
	MaxHeadDeltas     = 256
	// MaxWriteIDs is how many of the last writes can be recognised.
	MaxWriteIDs = 512
)

// Head is the value of HeadKey: the newest version as a base and the deltas
// since then. A change of the tables is one compare-and-swap of it.
type Head struct {
	Version Version `json:"version"`
	// Base is the version of the whole snapshot under BaseKey(Base); 0 is the
	// empty state, which has no key.
	Base Version `json:"base"`
	// Deltas lead from Base to Version.
	Deltas []Delta `json:"deltas"`
	// WriteIDs are those of the last versions, the newest last.
	WriteIDs []WriteID `json:"write_ids"`
}

// DecodeHead reads and checks the value of HeadKey.
func DecodeHead(data []byte) (*Head, error) {
	h := new(Head)
	if err := decodeValue(data, h); err != nil {
		return nil, errors.Wrap(err, "decode head")
	}
	if err := h.check(); err != nil {
		return nil, errors.Wrap(err, "decode head")
	}
	return h, nil
}

func (h *Head) check() error {
	if h.Base > h.Version || h.Version-h.Base != Version(len(h.Deltas)) {
		return errors.Errorf("version %d is not base %d and %d deltas", h.Version, h.Base, len(h.Deltas))
	}
	for i, d := range h.Deltas {
		if d.Version != h.Base+Version(i)+1 {
			return errors.Errorf("delta %d has version %d, want %d", i, d.Version, h.Base+Version(i)+1)
		}
	}
	if len(h.WriteIDs) > MaxWriteIDs || Version(len(h.WriteIDs)) > h.Version {
		return errors.Errorf("%d write ids at version %d", len(h.WriteIDs), h.Version)
	}
	return nil
}

// Encode returns the JSON form.
func (h *Head) Encode() []byte { return mustMarshal(h) }

// DeltasSince returns the deltas that lead from v to the head's version. It
// returns false when v is older than the base or newer than the head.
func (h *Head) DeltasSince(v Version) ([]Delta, bool) {
	if v < h.Base || v > h.Version {
		return nil, false
	}
	return h.Deltas[v-h.Base:], true
}

// VersionOfWrite returns the version that a write made, if it is among the last
// MaxWriteIDs.
func (h *Head) VersionOfWrite(id WriteID) (Version, bool) {
	i := slices.Index(h.WriteIDs, id)
	if i < 0 {
		return 0, false
	}
	return h.Version - Version(len(h.WriteIDs)-1-i), true
}

// SameHistory reports whether s is a version of this head's history, as far as
// the write ids tell.
func (h *Head) SameHistory(s *Snapshot) bool {
	back := h.Version - s.version
	if s.writeID == "" || s.version > h.Version || back >= Version(len(h.WriteIDs)) {
		return true
	}
	return h.WriteIDs[len(h.WriteIDs)-1-int(back)] == s.writeID
}

// Append returns the head after one more change.
func (h *Head) Append(d Delta) (*Head, error) {
	if d.Version != h.Version+1 {
		return nil, &VersionError{Current: h.Version, Delta: d.Version}
	}
	next := &Head{Version: d.Version, Base: h.Base}
	next.Deltas = append(slices.Clone(h.Deltas), d)
	ids := append(slices.Clone(h.WriteIDs), d.WriteID)
	next.WriteIDs = ids[max(0, len(ids)-MaxWriteIDs):]
	return next, nil
}

// CompactionBase returns the version that must become the base before the head is
// written, and whether there is one. It is never the newest version: only a
// version that is already in force has one fixed content, which two editors
// who compact at the same time write alike. Half of the limits' worth of
// deltas is kept, so that daemons which are a few versions behind need no
// whole snapshot.
func (h *Head) CompactionBase() (Version, bool) {
	sizes := make([]int, len(h.Deltas))
	total := 0
	for i, d := range h.Deltas {
		sizes[i] = len(d.Encode())
		total += sizes[i]
	}
	if len(h.Deltas) <= 1 || (total <= MaxHeadDeltaBytes && len(h.Deltas) <= MaxHeadDeltas) {
		return 0, false
	}
	drop := 0
	for drop < len(h.Deltas)-1 && (total > MaxHeadDeltaBytes/2 || len(h.Deltas)-drop > MaxHeadDeltas/2) {
		total -= sizes[drop]
		drop++
	}
	return h.Base + Version(drop), true
}

// Rebase returns the head with a newer base and without the deltas up to it.
func (h *Head) Rebase(base Version) (*Head, error) {
	deltas, ok := h.DeltasSince(base)
	if !ok {
		return nil, errors.Errorf("base %d is not within versions %d to %d", base, h.Base, h.Version)
	}
	return &Head{Version: h.Version, Base: base, Deltas: slices.Clone(deltas), WriteIDs: h.WriteIDs}, nil
}

// Replay returns the snapshot with version v: base, which is at most v, and
// the deltas up to v.
func (h *Head) Replay(base *Snapshot, v Version) (*Snapshot, error) {
	deltas, ok := h.DeltasSince(base.Version())
	if !ok || v > h.Version || v < base.Version() {
		return nil, errors.Errorf("no deltas from version %d to %d", base.Version(), v)
	}
	next, err := base.ApplyAll(deltas[:v-base.Version()])
	if err != nil {
		return nil, errors.Wrapf(err, "replay versions %d to %d", base.Version()+1, v)
	}
	return next, nil
}
