package exception

import (
	"sync"
	"time"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
)

// Entry is one flow that is not on its default server.
type Entry struct {
	Fingerprint uint64
	Route       tables.RouteID
	Server      tables.ServerID
	Slot        uint32
}

func (e Entry) message() *peerapi.Exception {
	return &peerapi.Exception{
		Fingerprint: e.Fingerprint,
		RouteId:     uint32(e.Route),
		ServerId:    uint32(e.Server),
		Slot:        e.Slot,
	}
}

func entryOf(m *peerapi.Exception) Entry {
	return Entry{
		Fingerprint: m.GetFingerprint(),
		Route:       tables.RouteID(m.GetRouteId()),
		Server:      tables.ServerID(m.GetServerId()),
		Slot:        m.GetSlot(),
	}
}

// MaxEntries bounds the entries that a daemon keeps for others. An entry takes 205
// bytes with its indexes, so the table stays below 41 MB of the 64 MB for control.
const MaxEntries = 200_000

// EntryLifetime is how long an entry is kept without news: as long as an idle
// established TCP flow.
const EntryLifetime = 2 * time.Hour

type heldEntry struct {
	entry Entry
	owner member.Name
	since time.Time
}

// Table keeps the exceptions of other owners, and those handed over to this
// daemon. It is safe for concurrent use.
type Table struct {
	mu            sync.Mutex
	limit         int
	byFingerprint map[uint64]heldEntry
	byOwner       map[member.Name]map[uint64]struct{}
	incarnation   map[member.Name]uint64
}

// NewTable returns an empty Held with room for limit entries.
func NewTable(limit int) *Table {
	return &Table{
		limit:         limit,
		byFingerprint: make(map[uint64]heldEntry),
		byOwner:       make(map[member.Name]map[uint64]struct{}),
		incarnation:   make(map[member.Name]uint64),
	}
}

// Store takes a batch of an owner. A batch of an older incarnation of the
// owner is refused whole: it was sent before the owner restarted.
func (h *Table) Store(b *peerapi.ExceptionBatch, now time.Time) (stored, refused int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	owner := member.Name(b.GetOwner())
	if b.GetIncarnation() < h.incarnation[owner] {
		return 0, len(b.GetAdded())
	}
	h.incarnation[owner] = b.GetIncarnation()
	if b.GetReplace() {
		h.forget(owner)
	}
	for _, fp := range b.GetClosed() {
		// The flow may have moved to another owner since.
		if h.byFingerprint[fp].owner == owner {
			h.remove(fp)
		}
	}
	for _, m := range b.GetAdded() {
		if h.put(owner, entryOf(m), now) {
			stored++
		} else {
			refused++
		}
	}
	return stored, refused
}

func (h *Table) put(owner member.Name, e Entry, now time.Time) bool {
	if _, known := h.byFingerprint[e.Fingerprint]; !known && len(h.byFingerprint) >= h.limit {
		return false
	}
	h.remove(e.Fingerprint)
	h.byFingerprint[e.Fingerprint] = heldEntry{entry: e, owner: owner, since: now}
	if h.byOwner[owner] == nil {
		h.byOwner[owner] = make(map[uint64]struct{})
	}
	h.byOwner[owner][e.Fingerprint] = struct{}{}
	return true
}

func (h *Table) remove(fp uint64) {
	held, ok := h.byFingerprint[fp]
	if !ok {
		return
	}
	delete(h.byFingerprint, fp)
	delete(h.byOwner[held.owner], fp)
	if len(h.byOwner[held.owner]) == 0 {
		delete(h.byOwner, held.owner)
	}
}

func (h *Table) forget(owner member.Name) {
	for fp := range h.byOwner[owner] {
		delete(h.byFingerprint, fp)
	}
	delete(h.byOwner, owner)
}

// RemoveOwner drops every entry of an owner.
func (h *Table) RemoveOwner(owner member.Name) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forget(owner)
}

// Lookup returns the entry of a flow.
func (h *Table) Lookup(fingerprint uint64) (Entry, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, ok := h.byFingerprint[fingerprint]
	return held.entry, ok
}

// Remove drops the entry of a flow, after this daemon has taken the flow over.
func (h *Table) Remove(fingerprint uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.remove(fingerprint)
}

// EntriesOf returns the entries of one owner.
func (h *Table) EntriesOf(owner member.Name) []Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	entries := make([]Entry, 0, len(h.byOwner[owner]))
	for fp := range h.byOwner[owner] {
		entries = append(entries, h.byFingerprint[fp].entry)
	}
	return entries
}

// Prune drops entries older than HeldPeriod and returns their fingerprints.
func (h *Table) Prune(now time.Time) []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	var pruned []uint64
	for fp, held := range h.byFingerprint {
		if now.Sub(held.since) > EntryLifetime {
			pruned = append(pruned, fp)
			h.remove(fp)
		}
	}
	return pruned
}

// Owners returns the owners that have entries here.
func (h *Table) Owners() []member.Name {
	h.mu.Lock()
	defer h.mu.Unlock()
	owners := make([]member.Name, 0, len(h.byOwner))
	for o := range h.byOwner {
		owners = append(owners, o)
	}
	return owners
}

// Len returns the number of entries.
func (h *Table) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.byFingerprint)
}
