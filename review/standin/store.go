package standin

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxPageItems is the number of items in a page of a listing.
	maxPageItems = 500
	// maxValueBytes is the largest value, history how long changes are kept.
	maxValueBytes = 1 << 20
	// largeAnswer is the size in bytes from which an answer to a watch is recorded.
	largeAnswer = 4 << 20
	history     = 20 * time.Second
)

// item is an item of the store or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type event struct {
	item
	at time.Time
}

// Store is the platform's metadata store.
type Store struct {
	record *Record
	server *http.Server
	addr   netip.AddrPort

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []event // the changes of the last history
	// dropped is the revision up to which changes are no longer kept.
	dropped uint64
	leases  map[uint64]time.Time
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// NewStore returns an empty store that listens on addr.
func NewStore(record *Record, addr netip.AddrPort) (*Store, error) {
	listener, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, err
	}
	s := &Store{
		record: record, addr: addr, revision: 10, items: map[string]item{}, leases: map[uint64]time.Time{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.createLease)
	mux.HandleFunc("POST /kv-keep/{id}", s.renewLease)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes an item as the operator or a server does and returns the size of its value in
// bytes.
func (s *Store) Put(key string, value any) int {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(data) > maxValueBytes {
		panic("value is larger than the store accepts")
	}
	s.put(key, data, 0)
	return len(data)
}

// Delete removes an item.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *Store) put(key string, value []byte, lease uint64) uint64 {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.publish(i)
	return s.revision
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.publish(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *Store) publish(i item) {
	s.events = append(s.events, event{i, time.Now()})
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire removes the items of leases that have run out, and changes that are too old.
func (s *Store) expire() {
	for len(s.events) > 0 && time.Since(s.events[0].at) > history {
		s.dropped = s.events[0].Revision
		s.events = s.events[1:]
	}
	for id, end := range s.leases {
		if time.Now().Before(end) {
			continue
		}
		delete(s.leases, id)
		for key, i := range s.items {
			if i.Lease == id {
				s.remove(key)
			}
		}
	}
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		respond(w, http.StatusNotFound, map[string]uint64{"current_rev": s.revision})
		return
	}
	respond(w, http.StatusOK, struct {
		item
		CurrentRev uint64 `json:"current_rev"`
	}{i, s.revision})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, r.URL.Query().Get("prefix")) && k > r.URL.Query().Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items := []item{}
	for _, k := range keys[:min(len(keys), maxPageItems)] {
		items = append(items, s.items[k])
	}
	respond(w, http.StatusOK, map[string]any{"items": items, "has_more": len(keys) > maxPageItems, "current_rev": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(min(waitMS, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		current, dropped, changed, events := s.revision, s.dropped, s.changed, []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e.item)
			}
		}
		s.mu.Unlock()
		if after > current || after < dropped {
			respond(w, http.StatusGone, map[string]uint64{"current_rev": current})
			return
		}
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
			}
		}
		size := 0
		for _, e := range events {
			size += base64.StdEncoding.EncodedLen(len(e.Value))
		}
		if size > largeAnswer {
			s.record.Add("store: the answer to a watch after revision %d has %d changes, %d bytes of values in base64", after, len(events), size)
		}
		respond(w, http.StatusOK, map[string]any{"events": events, "current_rev": current})
		return
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected_rev"`
		Puts   []item   `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		respond(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range body.Expected {
		if s.items[e.Key].Revision != e.Revision {
			respond(w, http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}})
			return
		}
	}
	for _, p := range body.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			respond(w, http.StatusNotFound, map[string]string{})
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			respond(w, http.StatusForbidden, map[string]string{})
			return
		}
	}
	for _, p := range body.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range body.Remove {
		s.remove(k)
	}
	respond(w, http.StatusOK, map[string]uint64{"revision": s.revision})
}

func (s *Store) createLease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTLMS < 1000 || body.TTLMS > 600_000 {
		respond(w, http.StatusBadRequest, map[string]string{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := 70_000 + uint64(len(s.leases)) + s.revision
	for ; !s.leases[id].IsZero(); id++ {
	}
	s.leases[id] = time.Now().Add(time.Duration(body.TTLMS) * time.Millisecond)
	respond(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": body.TTLMS})
}

func (s *Store) renewLease(w http.ResponseWriter, r *http.Request) {
	var id uint64
	_, _ = fmt.Sscan(r.PathValue("id"), &id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	if s.leases[id].IsZero() {
		respond(w, http.StatusNotFound, map[string]string{})
		return
	}
	s.leases[id] = time.Now().Add(10 * time.Minute)
	respond(w, http.StatusOK, map[string]any{"ttl_ms": 600_000})
}
