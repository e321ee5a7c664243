package lab

import (
	"encoding/json"
	"io"
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

	writtenAt time.Time
}

// pageSize is the number of items in a page of a listing.
const pageSize = 500

// Store is the platform's store.
type Store struct {
	mu       sync.Mutex
	delay    time.Duration
	era      uint64
	revision uint64
	items    map[string]Item
	events   []Item
	leases   map[uint64]bool
	changed  chan struct{}
	// history is how long changes are kept, and dropped the revision up to which they are not.
	history   time.Duration
	dropped   uint64
	listeners []net.Listener
}

// link limits what one machine gets, in bytes a second; zero for no limit.
type link struct {
	mu   sync.Mutex
	rate float64
	free time.Time
}

// write writes b at the rate of the link, which its responses share.
func (l *link) write(w io.Writer, b []byte) {
	if l.rate == 0 {
		_, _ = w.Write(b)
		return
	}
	const chunk = 4 << 10
	for len(b) > 0 {
		n := min(chunk, len(b))
		l.mu.Lock()
		now := time.Now()
		if l.free.Before(now) {
			l.free = now
		}
		l.free = l.free.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
		until := l.free
		l.mu.Unlock()
		time.Sleep(time.Until(until))
		if _, err := w.Write(b[:n]); err != nil {
			return
		}
		if f, ok := w.(http.Flusher); ok {
			f.Flush()
		}
		b = b[n:]
	}
}

// NewStore returns an empty store without addresses.
func NewStore() *Store {
	return &Store{
		delay: 4 * time.Millisecond, era: 1, revision: 10, items: map[string]Item{}, leases: map[uint64]bool{}, changed: make(chan struct{}),
		history: 20 * time.Second,
	}
}

// Serve serves the store at an address. The machine that uses it has a link of a rate in bytes a
// second; zero for no limit.
func (s *Store) Serve(addr netip.AddrPort, rate float64) error {
	l, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return err
	}
	s.listeners = append(s.listeners, l)
	e := endpoint{s, &link{rate: rate}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", e.key)
	mux.HandleFunc("GET /kv-range", e.list)
	mux.HandleFunc("GET /kv-watch", e.watch)
	mux.HandleFunc("POST /kv-txn", e.txn)
	mux.HandleFunc("POST /kv-lease", e.lease)
	mux.HandleFunc("POST /kv-keep/{id}", e.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", e.end)
	go func() { _ = http.Serve(l, mux) }()
	return nil
}

// endpoint is the store as one machine reaches it.
type endpoint struct {
	*Store
	link *link
}

// Close stops the store.
func (s *Store) Close() {
	for _, l := range s.listeners {
		_ = l.Close()
	}
}

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
	i.writtenAt = time.Now()
	s.events = append(s.events, i)
	for len(s.events) > 0 && time.Since(s.events[0].writtenAt) > s.history {
		s.dropped, s.events = s.events[0].Revision, s.events[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s endpoint) answer(w http.ResponseWriter, status int, body any) {
	s.mu.Lock()
	d, era := s.delay, s.era
	s.mu.Unlock()
	time.Sleep(d)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	s.link.write(w, b)
}

func (s endpoint) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		s.answer(w, http.StatusNotFound, struct{}{})
		return
	}
	s.answer(w, http.StatusOK, i)
}

func (s endpoint) list(w http.ResponseWriter, r *http.Request) {
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

func (s endpoint) watch(w http.ResponseWriter, r *http.Request) {
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
		for len(s.events) > 0 && time.Since(s.events[0].writtenAt) > s.history {
			s.dropped, s.events = s.events[0].Revision, s.events[1:]
		}
		dropped := s.dropped
		for _, i := range s.events {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				list.Events = append(list.Events, i)
			}
		}
		s.mu.Unlock()
		list.CurrentRev = revision
		if after > revision || after < dropped {
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

func (s endpoint) txn(w http.ResponseWriter, r *http.Request) {
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

func (s endpoint) lease(w http.ResponseWriter, r *http.Request) {
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

func (s endpoint) keep(w http.ResponseWriter, r *http.Request) {
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

func (s endpoint) end(w http.ResponseWriter, r *http.Request) {
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
