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
	// FetchTables asks one peer for what leads from have to its version.
	FetchTables(ctx context.Context, to member.Name, have tables.Version) (*peerapi.FetchTablesResponse, error)
	// FloodTables sends a change to all linked peers but from. It must not
	// block.
	FloodTables(version tables.Version, delta []byte, from member.Name)
}

// Members tells which daemons watch the store.
type Members interface {
	View() *member.View
}

// Config holds what a Syncer needs. All fields are required.
type Config struct {
	Members Members
	Store   store.Store
	Events  *events.Logger
	Metrics *metrics.Registry
}

// Syncer holds the version of the tables that is in force in a daemon. It is
// safe for concurrent use.
type Syncer struct {
	cfg     Config
	current atomic.Pointer[tables.Snapshot]
	offers  chan offer

	// mu is held while a version is applied, so that callbacks run in the
	// order of versions.
	mu       sync.Mutex
	recent   deltaLog
	encoded  []byte // of the current snapshot, built when first fetched
	onChange []func(old, new *tables.Snapshot)

	// state guards what heartbeats change.
	state     sync.Mutex
	confirmed time.Time
	lead      lead
}

// offer is a change that a peer flooded.
type offer struct {
	from    member.Name
	version tables.Version
	delta   []byte
}

// New returns a Syncer without tables.
func New(cfg Config) (*Syncer, error) {
	if cfg.Members == nil || cfg.Store == nil || cfg.Events == nil || cfg.Metrics == nil {
		return nil, errors.New("table syncer: a required part is missing")
	}
	return &Syncer{cfg: cfg, offers: make(chan offer, offerQueue), confirmed: time.Now()}, nil
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

// OnChange registers f, which is called after each change of the version in
// force, in order of versions. old is nil at the first one. A version can be
// skipped if a later one arrives together with it. Callbacks hold up the next
// version and must not call Offer, Fetch or OnChange.
func (s *Syncer) OnChange(f func(old, new *tables.Snapshot)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChange = append(s.onChange, f)
}

// Run follows peers and store until ctx ends.
func (s *Syncer) Run(ctx context.Context, peers Peers) error {
	var group conc.WaitGroup
	group.Go(func() { s.followPeers(ctx, peers) })
	group.Go(func() { s.watchStore(ctx, peers) })
	group.Wait()
	return nil
}

// apply puts the deltas that follow the version in force into force, all at
// once, and floods them. Older deltas are skipped. It returns errGap if a
// version is missing.
func (s *Syncer) apply(deltas []tables.Delta, from member.Name, peers Peers) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	base := old
	if base == nil {
		base = tables.Empty()
	}
	fresh := deltas
	for len(fresh) > 0 && fresh[0].Version <= base.Version() {
		fresh = fresh[1:]
	}
	switch {
	case len(fresh) == 0:
		return nil
	case fresh[0].Version > base.Version()+1:
		return errGap
	}
	next, err := base.ApplyAll(fresh)
	if err != nil {
		return errors.Wrapf(err, "apply version %d", fresh[0].Version)
	}
	for _, d := range fresh {
		s.recent.add(d.Version, d.Encode())
	}
	s.publish(old, next)
	for _, e := range s.recent.last(len(fresh)) {
		peers.FloodTables(e.version, e.delta, from)
	}
	s.notify(old, next)
	return nil
}

// replace puts a whole snapshot into force if it is newer.
func (s *Syncer) replace(next *tables.Snapshot) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	if next.Version() <= s.Version() {
		return false
	}
	s.recent.reset()
	s.publish(old, next)
	s.notify(old, next)
	return true
}

func (s *Syncer) publish(old, next *tables.Snapshot) {
	s.current.Store(next)
	s.encoded = nil
	s.cfg.Metrics.Count(metrics.TablesApplied, 1)
	var before tables.Version
	if old != nil {
		before = old.Version()
	}
	s.cfg.Events.Log(events.TablesApplied,
		zap.Uint64("version", uint64(next.Version())), zap.Uint64("previous", uint64(before)))
}

func (s *Syncer) notify(old, next *tables.Snapshot) {
	for _, f := range s.onChange {
		f(old, next)
	}
}

// errGap means that versions before a delta are missing.
var errGap = errors.New("earlier table versions are missing")
