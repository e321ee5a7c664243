// Package platform contains stand-ins for the users' platform, for use in tests: the
// store over HTTP, routers, and callers and backend servers that exchange packets
// over UDP. They speak the platform's protocols.
package platform

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// firstEra is the era of a store that was never restored.
const firstEra = 1

// pageSize is the maximum number of items in a page of a listing.
const pageSize = 50

// Item is an item of the store, or a change of one.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Store keeps items in memory and serves them through Endpoints.
type Store struct {
	// restores counts the restores.
	restores atomic.Uint64

	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	events   []Item // changes in the order of their revisions
	// droppedRevision is the revision up to which the history was dropped.
	droppedRevision uint64
	leases          map[uint64]time.Time
	lastLease       uint64 // id of the last lease
	// changed is closed and replaced at every change.
	changed chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		revision: 10, items: map[string]Item{}, leases: map[uint64]time.Time{}, lastLease: 100, changed: make(chan struct{}),
	}
}

// Put writes an item and returns its revision.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, value, 0)
}

func (s *Store) put(key string, value []byte, lease uint64) uint64 {
	s.revision++
	i := Item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.publish(i)
	return s.revision
}

// Delete removes an item if it exists.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.publish(Item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) publish(i Item) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// DropHistory drops the history, so that watches after older revisions fail.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedRevision, s.events = s.revision, nil
}

// Backup is a copy of a store.
type Backup struct {
	revision uint64
	items    map[string]Item
	leases   map[uint64]time.Time
}

// Backup returns a copy of the current items and leases.
func (s *Store) Backup() Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Backup{revision: s.revision, items: maps.Clone(s.items), leases: maps.Clone(s.leases)}
}

// Keys returns the keys with a prefix.
func (b Backup) Keys(prefix string) []string {
	var keys []string
	for key := range b.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}

// Value returns the value of an item, nil if there is none.
func (b Backup) Value(key string) []byte { return b.items[key].Value }

// Restore replaces the items and leases by those of a backup. Revisions after that of
// the backup are assigned again.
func (s *Store) Restore(b Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restores.Add(1)
	s.revision, s.items, s.leases = b.revision, maps.Clone(b.items), maps.Clone(b.leases)
	s.events = slices.DeleteFunc(s.events, func(i Item) bool { return i.Revision > b.revision })
	s.droppedRevision = min(s.droppedRevision, b.revision)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Item returns the item with a key. It reports false if there is none.
func (s *Store) Item(key string) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i, ok
}

// Fault determines how an Endpoint treats calls.
type Fault int

// Faults of an Endpoint.
const (
	// NoFault means that calls are served.
	NoFault Fault = iota
	// Unavailable means that calls fail with status 503, and Throttled with status 429.
	Unavailable
	Throttled
	// Unresponsive means that calls hang and their connections stay open.
	Unresponsive
	// ResponseLost means that calls are executed, but their connections are closed
	// without a response.
	ResponseLost
)

// Endpoint serves a Store on one address. Each has its own fault, so that calls of
// some machines can fail while others are served.
type Endpoint struct {
	store    *Store
	listener net.Listener
	http     *http.Server

	mu    sync.Mutex
	fault Fault
	calls int
	// faultChanged is closed and replaced by SetFault.
	faultChanged chan struct{}
}

// Listen serves the store on a loopback port.
func (s *Store) Listen() (*Endpoint, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for store calls")
	}
	e := &Endpoint{store: s, listener: listener, faultChanged: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", e.get)
	mux.HandleFunc("GET /kv-range", e.list)
	mux.HandleFunc("GET /kv-watch", e.watch)
	mux.HandleFunc("POST /kv-txn", e.txn)
	mux.HandleFunc("POST /kv-lease", e.createLease)
	mux.HandleFunc("POST /kv-keep/{id}", e.renewLease)
	e.http = &http.Server{Handler: e.withFaults(mux), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = e.http.Serve(listener) }() // ends with Close
	return e, nil
}

// Addr returns the address of the endpoint.
func (e *Endpoint) Addr() netip.AddrPort {
	return netip.MustParseAddrPort(e.listener.Addr().String())
}

// Close stops the endpoint and closes its connections.
func (e *Endpoint) Close() {
	e.SetFault(Unavailable)
	_ = e.http.Close() // the endpoint is not used any more
}

// SetFault changes the fault of the endpoint. Calls that hang because of Unresponsive
// are aborted.
func (e *Endpoint) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	close(e.faultChanged)
	e.faultChanged = make(chan struct{})
}

// Calls returns the number of calls received.
func (e *Endpoint) Calls() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.calls
}

// currentFault returns the fault and a channel that is closed when SetFault is called.
func (e *Endpoint) currentFault() (Fault, chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault, e.faultChanged
}

// withFaults applies the endpoint's fault to the calls of a handler.
func (e *Endpoint) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.mu.Lock()
		e.calls++
		fault, faultChanged := e.fault, e.faultChanged
		e.mu.Unlock()
		switch fault {
		case Unavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
		case Throttled:
			w.WriteHeader(http.StatusTooManyRequests)
		case Unresponsive:
			select {
			case <-faultChanged:
			case <-r.Context().Done():
			}
			panic(http.ErrAbortHandler) // closes the connection without a response
		case ResponseLost:
			next.ServeHTTP(discardResponse{header: http.Header{}}, r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(&eraWriter{ResponseWriter: w, store: e.store}, r)
		}
	})
}

// eraWriter adds the store's era at the time of the response as a header.
type eraWriter struct {
	http.ResponseWriter
	store *Store
}

func (w *eraWriter) WriteHeader(status int) {
	w.Header().Set("Store-Era", strconv.FormatUint(firstEra+w.store.restores.Load(), 10))
	w.ResponseWriter.WriteHeader(status)
}

func (w *eraWriter) Write(b []byte) (int, error) {
	if w.Header().Get("Store-Era") == "" {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(b)
}

// discardResponse is an http.ResponseWriter that discards the response.
type discardResponse struct{ header http.Header }

func (d discardResponse) Header() http.Header         { return d.header }
func (d discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (d discardResponse) WriteHeader(int)             {}

func (e *Endpoint) get(w http.ResponseWriter, r *http.Request) {
	s := e.store
	s.mu.Lock()
	defer s.mu.Unlock()
	item, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, item)
}

func (e *Endpoint) list(w http.ResponseWriter, r *http.Request) {
	s := e.store
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := struct {
		Items      []Item `json:"items"`
		HasMore    bool   `json:"has_more"`
		CurrentRev uint64 `json:"current_rev"`
	}{Items: []Item{}, HasMore: len(keys) > pageSize, CurrentRev: s.revision}
	for _, key := range keys[:min(len(keys), pageSize)] {
		page.Items = append(page.Items, s.items[key])
	}
	writeJSON(w, page)
}

func (e *Endpoint) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		events, current, changed, ok := e.store.since(q.Get("prefix"), after)
		if !ok {
			w.WriteHeader(http.StatusGone)
			return
		}
		_, faultChanged := e.currentFault()
		if len(events) == 0 {
			select {
			case <-changed:
				if f, _ := e.currentFault(); f == NoFault {
					continue
				}
				// The endpoint has a fault, so the watch must not return the change.
				<-r.Context().Done()
				return
			case <-faultChanged:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
			}
		}
		writeJSON(w, struct {
			Events     []Item `json:"events"`
			CurrentRev uint64 `json:"current_rev"`
		}{events, current})
		return
	}
}

// since returns the changes under a prefix after a revision, the current revision and
// a channel that is closed at the next change. It reports false if the changes
// after the revision are no longer available.
func (s *Store) since(prefix string, after uint64) (events []Item, current uint64, changed chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []Item{}
	for _, i := range s.events {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, s.changed, after >= s.droppedRevision && after <= s.revision
}

func (e *Endpoint) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_rev"`
		Puts   []Item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s := e.store
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, expected := range body.Expected {
		if s.items[expected.Key].Revision != expected.Revision {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	for _, p := range body.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	writeJSON(w, map[string]uint64{"revision": s.revision})
}

func (e *Endpoint) createLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTLMS < 1000 || body.TTLMS > 600_000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s := e.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	s.leases[s.lastLease] = time.Now().Add(time.Duration(body.TTLMS) * time.Millisecond)
	writeJSON(w, map[string]any{"lease": s.lastLease, "ttl_ms": body.TTLMS})
}

func (e *Endpoint) renewLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s := e.store
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, map[string]any{"ttl_ms": 1000})
}

// ExpireLease expires a lease and removes its items.
func (s *Store) ExpireLease(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func writeJSON(w http.ResponseWriter, response any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response) // the client may have disconnected
}
