package exception

import (
	"sync"
	"time"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
)

// Entry tells which server a flow is on, usually because it is not the flow's
// default server.
type Entry struct {
	Fingerprint uint64
	Route       tables.RouteID
	Server      tables.ServerID
	Slot        uint32
}

// message returns the wire form of the entry.
func (e Entry) message() *peerapi.Exception {
	return &peerapi.Exception{
		Fingerprint: e.Fingerprint,
		RouteId:     uint32(e.Route),
		ServerId:    uint32(e.Server),
		Slot:        e.Slot,
	}
}

// entryOf returns the entry for its wire form.
func entryOf(m *peerapi.Exception) Entry {
	return Entry{
		Fingerprint: m.GetFingerprint(),
		Route:       tables.RouteID(m.GetRouteId()),
		Server:      tables.ServerID(m.GetServerId()),
		Slot:        m.GetSlot(),
	}
}

// MaxEntries is the maximum number of entries in the table of a daemon. An
// entry takes 205 bytes with its indexes, so the table stays below 41 MB, of
// the 64 MB of memory for control.
const MaxEntries = 200_000

// EntryLifetime is how long an entry is kept after it was stored. It equals the
// idle timeout of an established TCP flow.
const EntryLifetime = 2 * time.Hour

// tableEntry is an entry together with the owner that sent it.
type tableEntry struct {
	entry    Entry
	owner    member.Name
	storedAt time.Time
}

// Table stores the exceptions received from other owners, and the flows handed
// over to this daemon. It is safe for concurrent use.
type Table struct {
	mu            sync.Mutex
	maxEntries    int
	byFingerprint map[uint64]tableEntry
	byOwner       map[member.Name]map[uint64]struct{}
	incarnation   map[member.Name]uint64 // newest one seen of each owner
}

// NewTable returns an empty Table that holds at most maxEntries entries.
func NewTable(maxEntries int) *Table {
	return &Table{
		maxEntries:    maxEntries,
		byFingerprint: make(map[uint64]tableEntry),
		byOwner:       make(map[member.Name]map[uint64]struct{}),
		incarnation:   make(map[member.Name]uint64),
	}
}

// Store applies a batch that an owner sent and returns how many of its added
// entries were stored and refused. It refuses the whole batch if an older
// incarnation of the owner sent it, before the owner restarted.
func (t *Table) Store(b *peerapi.ExceptionBatch, now time.Time) (stored, refused int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	owner := member.Name(b.GetOwner())
	if b.GetIncarnation() < t.incarnation[owner] {
		return 0, len(b.GetAdded())
	}
	t.incarnation[owner] = b.GetIncarnation()
	if b.GetReplace() {
		t.removeOwner(owner)
	}
	for _, fp := range b.GetClosed() {
		// Another owner may have taken over the flow in the meantime.
		if t.byFingerprint[fp].owner == owner {
			t.remove(fp)
		}
	}
	for _, m := range b.GetAdded() {
		if t.put(owner, entryOf(m), now) {
			stored++
		} else {
			refused++
		}
	}
	return stored, refused
}

// put stores an entry of owner, replacing the flow's previous one. It returns
// false if the table is full. t.mu must be held.
func (t *Table) put(owner member.Name, e Entry, now time.Time) bool {
	if _, known := t.byFingerprint[e.Fingerprint]; !known && len(t.byFingerprint) >= t.maxEntries {
		return false
	}
	t.remove(e.Fingerprint)
	t.byFingerprint[e.Fingerprint] = tableEntry{entry: e, owner: owner, storedAt: now}
	if t.byOwner[owner] == nil {
		t.byOwner[owner] = make(map[uint64]struct{})
	}
	t.byOwner[owner][e.Fingerprint] = struct{}{}
	return true
}

// remove deletes the entry of a flow. t.mu must be held.
func (t *Table) remove(fp uint64) {
	te, ok := t.byFingerprint[fp]
	if !ok {
		return
	}
	delete(t.byFingerprint, fp)
	delete(t.byOwner[te.owner], fp)
	if len(t.byOwner[te.owner]) == 0 {
		delete(t.byOwner, te.owner)
	}
}

// removeOwner deletes every entry of an owner. t.mu must be held.
func (t *Table) removeOwner(owner member.Name) {
	for fp := range t.byOwner[owner] {
		delete(t.byFingerprint, fp)
	}
	delete(t.byOwner, owner)
}

// RemoveOwner deletes every entry of an owner.
func (t *Table) RemoveOwner(owner member.Name) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeOwner(owner)
}

// Lookup returns the entry of a flow.
func (t *Table) Lookup(fingerprint uint64) (Entry, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	te, ok := t.byFingerprint[fingerprint]
	return te.entry, ok
}

// Remove deletes the entry of a flow, once this daemon has taken the flow over
// or the flow has ended.
func (t *Table) Remove(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remove(fingerprint)
}

// EntriesOf returns the entries of one owner, in no particular order.
func (t *Table) EntriesOf(owner member.Name) []Entry {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := make([]Entry, 0, len(t.byOwner[owner]))
	for fp := range t.byOwner[owner] {
		entries = append(entries, t.byFingerprint[fp].entry)
	}
	return entries
}

// Prune deletes entries older than EntryLifetime and returns their
// fingerprints.
func (t *Table) Prune(now time.Time) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var pruned []uint64
	for fp, te := range t.byFingerprint {
		if now.Sub(te.storedAt) > EntryLifetime {
			pruned = append(pruned, fp)
			t.remove(fp)
		}
	}
	return pruned
}

// Owners returns the owners that have entries in the table.
func (t *Table) Owners() []member.Name {
	t.mu.Lock()
	defer t.mu.Unlock()
	owners := make([]member.Name, 0, len(t.byOwner))
	for o := range t.byOwner {
		owners = append(owners, o)
	}
	return owners
}

// Len returns the number of entries.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byFingerprint)
}
