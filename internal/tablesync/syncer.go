package tablesync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
)

// Peers is how a Syncer reaches the other daemons.
type Peers interface {
	// Linked returns the peers that have a link with this daemon.
	Linked() []member.Name
	// FetchTables requests from a peer the deltas or the snapshot that lead from version
	// have to the peer's version.
	FetchTables(ctx context.Context, to member.Name, have tables.Version) (*peerapi.FetchTablesResponse, error)
	// FloodTables sends a change to all linked peers but from. It must not
	// block.
	FloodTables(version tables.Version, delta []byte, from member.Name)
}

// Members gives access to the members of the region.
type Members interface {
	// View returns the current view, which tells whether this daemon is a watcher.
	View() *member.View
}

// Config configures a Syncer. All fields are required.
type Config struct {
	Members Members
	Store   store.Store
	Events  *events.Logger
	Metrics *metrics.Registry
}

// Syncer holds the tables in force in a daemon and keeps them up to date. It is safe
// for concurrent use.
type Syncer struct {
	cfg     Config
	current atomic.Pointer[tables.Snapshot]
	offers  chan offer

	// mu is held while a version is applied and the callbacks run, so that they run in
	// the order of versions.
	mu           sync.Mutex
	recentDeltas deltaLog
	encoded      []byte // of the current snapshot, built when first fetched
	onChange     []func(old, new *tables.Snapshot)

	// stateMu guards the fields that heartbeats change.
	stateMu     sync.Mutex
	confirmedAt time.Time
	pending     pendingFetch
}

// offer is a change that a peer flooded.
type offer struct {
	from    member.Name
	version tables.Version
	delta   []byte
}

// New returns a Syncer without tables. Call Run to start it.
func New(cfg Config) (*Syncer, error) {
	if cfg.Members == nil || cfg.Store == nil || cfg.Events == nil || cfg.Metrics == nil {
		return nil, errors.New("table syncer: a required field of the configuration is missing")
	}
	return &Syncer{cfg: cfg, offers: make(chan offer, maxQueuedOffers), confirmedAt: time.Now()}, nil
}

// Current returns the tables in force, nil before the first version.
func (s *Syncer) Current() *tables.Snapshot { return s.current.Load() }

// Version returns the version in force, 0 before the first one.
func (s *Syncer) Version() tables.Version {
	if c := s.current.Load(); c != nil {
		return c.Version()
	}
	return 0
}

// OnChange registers f, which is called after each change of the version in force, in
// order of versions. In the first call, old is nil. A version is skipped if it is
// applied together with a later one. The next version waits until f returns. f must
// not call Offer, Fetch or OnChange.
func (s *Syncer) OnChange(f func(old, new *tables.Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = append(s.onChange, f)
}

// Run applies changes from peers and the store until ctx ends.
func (s *Syncer) Run(ctx context.Context, peers Peers) error {
	var group conc.WaitGroup
	group.Go(func() { s.followPeers(ctx, peers) })
	group.Go(func() { s.watchStore(ctx, peers) })
	group.Wait()
	return nil
}

// apply applies the deltas that follow the version in force, all at once, and floods
// them to all linked peers but from. Older deltas are skipped. It returns errGap if a
// version is missing.
func (s *Syncer) apply(deltas []tables.Delta, from member.Name, peers Peers) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	base := old
	if base == nil {
		base = tables.Empty()
	}
	newer := deltas
	for len(newer) > 0 && newer[0].Version <= base.Version() {
		newer = newer[1:]
	}
	switch {
	case len(newer) == 0:
		return nil
	case newer[0].Version > base.Version()+1:
		return errGap
	}
	next, err := base.ApplyAll(newer)
	if err != nil {
		return errors.Wrapf(err, "apply version %d", newer[0].Version)
	}
	for _, d := range newer {
		s.recentDeltas.add(d.Version, d.Encode())
	}
	s.publish(old, next)
	for _, e := range s.recentDeltas.last(len(newer)) {
		peers.FloodTables(e.version, e.delta, from)
	}
	s.notify(old, next)
	return nil
}

// replace puts a snapshot into force if it is newer than the current tables, and reports
// whether it did.
func (s *Syncer) replace(next *tables.Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	if next.Version() <= s.Version() {
		return false
	}
	s.recentDeltas.reset()
	s.publish(old, next)
	s.notify(old, next)
	return true
}

// publish makes next the tables in force. The caller holds s.mu.
func (s *Syncer) publish(old, next *tables.Snapshot) {
	s.current.Store(next)
	s.encoded = nil
	s.cfg.Metrics.Count(metrics.TablesApplied, 1)
	var previous tables.Version
	if old != nil {
		previous = old.Version()
	}
	s.cfg.Events.Log(events.TablesApplied,
		zap.Uint64("version", uint64(next.Version())), zap.Uint64("previous", uint64(previous)))
}

// notify runs the callbacks. The caller holds s.mu.
func (s *Syncer) notify(old, next *tables.Snapshot) {
	for _, f := range s.onChange {
		f(old, next)
	}
}

// errGap means that versions between the one in force and a delta are missing.
var errGap = errors.New("earlier table versions are missing")
