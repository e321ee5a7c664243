package tables

import (
	"slices"

	"github.com/go-faster/errors"
)

// Limits of the head value.
const (
	// MaxHeadDeltaBytes and MaxHeadDeltas limit the encoded size and the number
	// of deltas. Compaction starts when either is exceeded.
	MaxHeadDeltaBytes = 64 * 1024
	MaxHeadDeltas     = 256
	// MaxWriteIDs is the number of latest writes whose ids are kept.
	MaxWriteIDs = 512
)

// Head is the value of HeadKey. It describes the newest version as a base and the
// deltas since the base. A change of the tables is one compare-and-swap of it.
type Head struct {
	Version Version `json:"version"`
	// Base is the version of the full snapshot that is stored under
	// BaseKey(Base); 0 means the empty tables, which are not stored.
	Base Version `json:"base"`
	// Deltas are the changes from Base to Version, the oldest first.
	Deltas []Delta `json:"deltas"`
	// WriteIDs are the write ids of the latest versions, the newest last.
	WriteIDs []WriteID `json:"write_ids"`
}

// DecodeHead parses and checks the value of HeadKey.
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

// check validates the versions of the deltas and the number of write ids.
func (h *Head) check() error {
	if h.Base > h.Version || h.Version-h.Base != Version(len(h.Deltas)) {
		return errors.Errorf("version %d does not equal base %d plus %d deltas", h.Version, h.Base, len(h.Deltas))
	}
	for i, d := range h.Deltas {
		if d.Version != h.Base+Version(i)+1 {
			return errors.Errorf("delta %d has version %d, want %d", i, d.Version, h.Base+Version(i)+1)
		}
	}
	if len(h.WriteIDs) > MaxWriteIDs || Version(len(h.WriteIDs)) > h.Version {
		return errors.Errorf("too many write ids: %d at version %d", len(h.WriteIDs), h.Version)
	}
	return nil
}

// Encode returns the JSON form.
func (h *Head) Encode() []byte { return mustMarshal(h) }

// DeltasSince returns the deltas after version v. It returns false if v is older
// than the base or newer than the head.
func (h *Head) DeltasSince(v Version) ([]Delta, bool) {
	if v < h.Base || v > h.Version {
		return nil, false
	}
	return h.Deltas[v-h.Base:], true
}

// VersionOfWrite returns the version that the write created. It returns false if
// the write is not among the last MaxWriteIDs.
func (h *Head) VersionOfWrite(id WriteID) (Version, bool) {
	i := slices.Index(h.WriteIDs, id)
	if i < 0 {
		return 0, false
	}
	return h.Version - Version(len(h.WriteIDs)-1-i), true
}

// SameHistory reports whether s can be a version of this head's history. It is
// false only if s is not newer than the head and the head has a different write
// id for its version.
func (h *Head) SameHistory(s *Snapshot) bool {
	behind := h.Version - s.version
	if s.writeID == "" || s.version > h.Version || behind >= Version(len(h.WriteIDs)) {
		return true
	}
	return h.WriteIDs[len(h.WriteIDs)-1-int(behind)] == s.writeID
}

// Append returns a head with the delta added.
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

// CompactionBase returns the version that must become the new base before the
// head is written. It returns false if no compaction is needed.
//
// The new base is never the newest version. That version is not in the store yet,
// and two concurrent editors could write different content under its BaseKey.
//
// Deltas up to half of the limits are kept, so that daemons that are a few
// versions behind do not need a full snapshot.
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

// Rebase returns a head with the given base and only the deltas after it.
func (h *Head) Rebase(base Version) (*Head, error) {
	deltas, ok := h.DeltasSince(base)
	if !ok {
		return nil, errors.Errorf("base %d is not within versions %d to %d", base, h.Base, h.Version)
	}
	return &Head{Version: h.Version, Base: base, Deltas: slices.Clone(deltas), WriteIDs: h.WriteIDs}, nil
}

// Replay returns the snapshot of version v. It applies the deltas after base up
// to v; base must not be newer than v.
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
