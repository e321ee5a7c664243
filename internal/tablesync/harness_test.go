package tablesync

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/internal/wait"
	"knapweedshore.example/peerapi"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// check fails the test if err is not nil.
func check(t interface{ Fatal(...any) }, err error) {
	if err != nil {
		t.Fatal(err)
	}
}

// change returns the delta that leads to a version. It adds one pool.
func change(v tables.Version) tables.Delta {
	return tables.Delta{
		Version: v, WriteID: tables.NewWriteID(), Author: "test", Time: time.Now(),
		Operations: []tables.Operation{tables.PutPool{Name: fmt.Sprintf("pool-%d", v)}},
	}
}

// fakeStore is a store with a head and bases. It can be down, and it can go down right
// after it has reported a change to one watch.
type fakeStore struct {
	mu              sync.Mutex
	head            *tables.Head
	values          map[string][]byte
	revision        uint64
	changed         chan struct{}
	down            bool
	failAfterChange bool // go down after reporting a change to a watch
	calls           int
}

func newFakeStore() *fakeStore {
	return &fakeStore{head: &tables.Head{}, values: make(map[string][]byte), changed: make(chan struct{})}
}

// update runs f with the lock held and wakes pending watches.
func (s *fakeStore) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// commit appends a change to the head and returns its version.
func (s *fakeStore) commit(t *testing.T) tables.Version {
	s.update(func() {
		d := change(s.head.Version + 1)
		if ids := s.head.WriteIDs; len(ids) > 0 {
			d.Previous = ids[len(ids)-1]
		}
		next, err := s.head.Append(d)
		check(t, err)
		s.head = next
		s.revision++
	})
	return s.head.Version
}

func (s *fakeStore) read(key string, after uint64) (store.Value, error) {
	data, found := s.values[key]
	if key == tables.HeadKey {
		data, found = s.head.Encode(), s.revision > 0
	}
	switch {
	case s.down:
		return store.Value{}, store.ErrUnavailable
	case !found:
		return store.Value{}, store.ErrNotFound
	case s.revision <= after:
		return store.Value{}, store.ErrNotModified
	}
	return store.Value{Data: data, Revision: s.revision}, nil
}

func (s *fakeStore) Get(_ context.Context, key string) (store.Value, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.read(key, 0)
}

func (s *fakeStore) Watch(ctx context.Context, key string, after uint64) (store.Value, error) {
	end := time.After(store.WatchWait)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	for {
		v, err := s.read(key, after)
		if err == nil && s.failAfterChange {
			s.down = true
		}
		if err != store.ErrNotModified {
			return v, err
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
			s.mu.Lock()
			continue
		case <-end:
		case <-ctx.Done():
			err = ctx.Err()
		}
		s.mu.Lock()
		return store.Value{}, err
	}
}

func (s *fakeStore) Swap(context.Context, string, []byte, uint64) (uint64, error) {
	panic("a daemon never writes tables")
}
func (s *fakeStore) VMs(context.Context) ([]store.VM, error) { return nil, nil }

// daemon is a syncer with a member table and links that deliver at once.
type daemon struct {
	*Syncer
	mesh       *mesh
	name       member.Name
	table      *member.Table
	logs       *observer.ObservedLogs
	kill       context.CancelFunc
	alive      bool
	dropFloods bool // lose floods, but not heartbeats
}

// mesh connects daemons along the ring.
type mesh struct {
	t       *testing.T
	store   *fakeStore
	mu      sync.Mutex
	daemons []*daemon
	group   conc.WaitGroup
}

// runMesh runs a test with a fake clock and count daemons in three zones.
func runMesh(t *testing.T, count int, f func(t *testing.T, m *mesh)) {
	synctest.Test(t, func(t *testing.T) {
		m := &mesh{t: t, store: newFakeStore()}
		t.Cleanup(m.group.Wait)
		for range count {
			m.start()
		}
		f(t, m)
	})
}

// start adds a daemon and makes it and all others known to each other.
func (m *mesh) start() *daemon {
	m.mu.Lock()
	i := len(m.daemons)
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
	core, logs := observer.New(zapcore.InfoLevel)
	d := &daemon{mesh: m, name: member.Name(fmt.Sprintf("vm-%d", i)), logs: logs, alive: true}
	logger, registry := events.New(zap.New(core)), metrics.NewRegistry()
	var err error
	d.table, err = member.New(member.Config{Events: logger, Metrics: registry, Self: member.Member{
		Name: d.name, Region: "cartago", Zone: fmt.Sprintf("z%d", i%3), Capacity: 1, Control: address, Data: address,
	}})
	check(m.t, err)
	d.Syncer, err = New(Config{Members: d.table, Store: m.store, Events: logger, Metrics: registry})
	check(m.t, err)
	for _, other := range m.daemons {
		other.table.Apply("", []member.Member{d.table.View().Self})
		d.table.Apply("", []member.Member{other.table.View().Self})
	}
	m.daemons = append(m.daemons, d)
	m.mu.Unlock()
	ctx, cancel := context.WithCancel(m.t.Context())
	d.kill = cancel
	m.group.Go(func() { _ = d.Run(ctx, d) })
	m.group.Go(func() {
		for wait.For(ctx, member.HeartbeatInterval) {
			for _, other := range m.linked(d) {
				other.ObserveVersion(d.name, d.Version(), d.Age())
			}
		}
	})
	return d
}

// crash stops a daemon. The others notice that after two seconds.
func (m *mesh) crash(d *daemon) {
	m.mu.Lock()
	d.alive = false
	m.mu.Unlock()
	d.kill()
	m.group.Go(func() {
		wait.For(m.t.Context(), 2*time.Second)
		record := d.table.View().Self
		for _, state := range []member.State{member.Suspect, member.Left} {
			record.State = state
			for _, other := range m.daemons {
				other.table.Apply("", []member.Member{record})
			}
		}
	})
}

// linked returns the ring neighbours of a daemon that are alive.
func (m *mesh) linked(d *daemon) []*daemon {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*daemon
	linksTo := func(a, b *daemon) bool {
		return slices.ContainsFunc(a.table.View().Successors(), func(s member.Member) bool { return s.Name == b.name })
	}
	for _, other := range m.daemons {
		if other != d && other.alive && d.alive && (linksTo(d, other) || linksTo(other, d)) {
			out = append(out, other)
		}
	}
	return out
}

// Linked implements Peers.
func (d *daemon) Linked() (names []member.Name) {
	for _, other := range d.mesh.linked(d) {
		names = append(names, other.name)
	}
	return names
}

// FloodTables implements Peers.
func (d *daemon) FloodTables(v tables.Version, delta []byte, from member.Name) {
	if d.dropFloods {
		return
	}
	for _, other := range d.mesh.linked(d) {
		if other.name != from {
			other.Offer(d.name, v, delta)
		}
	}
}

// FetchTables implements Peers.
func (d *daemon) FetchTables(ctx context.Context, to member.Name, have tables.Version) (*peerapi.FetchTablesResponse, error) {
	for _, other := range d.mesh.linked(d) {
		if other.name == to {
			return other.Fetch(have), nil
		}
	}
	<-ctx.Done()
	return nil, ctx.Err()
}

// waitInForce waits until a version is in force on all live daemons, and fails the test
// after limit.
func (m *mesh) waitInForce(v tables.Version, limit time.Duration) {
	m.t.Helper()
	started := time.Now()
	for !m.all(func(d *daemon) bool { return d.Version() == v }) {
		if time.Since(started) > limit {
			m.t.Fatalf("version %d is not in force on every daemon within %v", v, limit)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// all reports whether f is true for all live daemons.
func (m *mesh) all(f func(d *daemon) bool) bool {
	return !slices.ContainsFunc(m.daemons, func(d *daemon) bool { return d.alive && !f(d) })
}

// watchers returns the live daemons that watch the store.
func (m *mesh) watchers() (out []*daemon) {
	for _, d := range m.daemons {
		if d.alive && d.table.View().ShouldWatch() {
			out = append(out, d)
		}
	}
	return out
}
