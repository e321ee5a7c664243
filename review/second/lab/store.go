package lab

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is an item of the store or a change of one.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// pageSize is the number of items in a page of a listing.
const pageSize = 500

// Store is the platform's store. It answers after Delay.
type Store struct {
	mu       sync.Mutex
	delay    time.Duration
	era      uint64
	revision uint64
	items    map[string]Item
	events   []Item
	leases   map[uint64]bool
	changed  chan struct{}
	listener net.Listener
}

// NewStore starts an empty store.
func NewStore(addr netip.AddrPort) (*Store, error) {
	l, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return nil, err
	}
	s := &Store{delay: 4 * time.Millisecond, era: 1, revision: 10, items: map[string]Item{}, leases: map[uint64]bool{}, changed: make(chan struct{}), listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.lease)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// Close stops the store.
func (s *Store) Close() { _ = s.listener.Close() }

// SetDelay sets how long an answer takes.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Put writes an item, as the operator and the servers do.
func (s *Store) Put(key string, value any) uint64 {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key, b, 0)
}

// Delete removes an item.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
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

func (s *Store) answer(w http.ResponseWriter, status int, body any) {
	s.mu.Lock()
	d, era := s.delay, s.era
	s.mu.Unlock()
	time.Sleep(d)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		s.answer(w, http.StatusNotFound, struct{}{})
		return
	}
	s.answer(w, http.StatusOK, i)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	page := struct {
		Items      []Item `json:"items"`
		HasMore    bool   `json:"has_more"`
		CurrentRev uint64 `json:"current_rev"`
	}{Items: []Item{}}
	s.mu.Lock()
	page.CurrentRev = s.revision
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, q.Get("prefix")) && k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	for _, k := range keys {
		if len(page.Items) == pageSize {
			page.HasMore = true
			break
		}
		page.Items = append(page.Items, s.items[k])
	}
	s.mu.Unlock()
	s.answer(w, http.StatusOK, page)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		list := struct {
			Events     []Item `json:"events"`
			CurrentRev uint64 `json:"current_rev"`
		}{Events: []Item{}}
		s.mu.Lock()
		changed, revision := s.changed, s.revision
		for _, i := range s.events {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				list.Events = append(list.Events, i)
			}
		}
		s.mu.Unlock()
		list.CurrentRev = revision
		if after > revision {
			s.answer(w, http.StatusGone, struct{}{})
			return
		}
		if over || len(list.Events) > 0 {
			s.answer(w, http.StatusOK, list)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []Item `json:"expected_rev"`
		Puts     []Item `json:"puts"`
		Remove   []string
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		s.answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	status := http.StatusOK
	for _, e := range body.Expected {
		if s.items[e.Key].Revision != e.Revision {
			status = http.StatusPreconditionFailed
		}
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && !s.leases[p.Lease] {
			status = http.StatusNotFound
		}
	}
	if status == http.StatusOK {
		for _, p := range body.Puts {
			s.put(p.Key, p.Value, p.Lease)
		}
		for _, k := range body.Remove {
			s.remove(k)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	s.answer(w, status, map[string]any{"revision": revision})
}

func (s *Store) lease(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	s.mu.Lock()
	id := uint64(len(s.leases) + 1001)
	s.leases[id] = true // no run is longer than a lease of ten minutes
	s.mu.Unlock()
	s.answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": body.TTL})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	known := s.leases[id]
	s.mu.Unlock()
	if !known {
		s.answer(w, http.StatusNotFound, struct{}{})
		return
	}
	s.answer(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": 600000})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
	s.mu.Unlock()
	s.answer(w, http.StatusOK, struct{}{})
}
