package tablesync

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/internal/wait"
)

const (
	// startupWait is how long a starting daemon waits for its peers' tables
	// before it asks the store. A fleet that restarts thus reads the store
	// from a few members only.
	startupWait = time.Second
	// rolePoll is the period in which a daemon looks whether it is a watcher.
	rolePoll = 250 * time.Millisecond
	// watchTimeout bounds one long poll, because its connection can go silent.
	// It leaves the store client time for its own deadline and call budget.
	watchTimeout = store.WatchWait + store.WatchSlack + time.Second
	// readTimeout bounds one read.
	readTimeout = 2 * time.Second
	// watchRetryFirst and watchRetryMax bound the pause after a failed watch.
	// The longest one is short, because a change accepted right after an
	// outage must be in force within 5 s; two watchers of each zone still make
	// few calls.
	watchRetryFirst = 200 * time.Millisecond
	watchRetryMax   = 2 * time.Second
	// startRetryMax bounds the pause of a starting daemon that is no watcher.
	startRetryMax = 30 * time.Second
	// rereadInterval is the period in which a watcher reads the head without
	// waiting for a higher revision: a store restored from a backup may never
	// reach the revision that the watch waits for.
	rereadInterval = time.Minute
)

// watcher is the state of one daemon's watch of the head.
type watcher struct {
	*Syncer
	peers    Peers
	revision uint64         // of the head that was last handled
	head     tables.Version // of that head
	read     time.Time
	refused  uint64 // revision of the head that was last refused
	failing  bool
}

// Answers of the store that bring no tables into force.
var (
	// errNoTables means that nobody has written tables yet.
	errNoTables = errors.New("store has no tables")
	// errInvalid means that the tables were refused and logged.
	errInvalid = errors.New("store has invalid tables")
)

// watchStore watches the head while this daemon is a watcher of its zone, and
// loads the tables if neither peers nor a watch have brought any.
func (s *Syncer) watchStore(ctx context.Context, peers Peers) {
	w := &watcher{Syncer: s, peers: peers}
	for started := time.Now(); s.Version() == 0 && time.Since(started) < startupWait; {
		if !wait.For(ctx, followInterval) {
			return
		}
	}
	for {
		pause := newPause(watchRetryMax)
		for s.cfg.Members.View().Watches() {
			if !w.pauseAfter(ctx, w.watchOnce(ctx), pause) {
				return
			}
		}
		start := newPause(startRetryMax)
		for s.Version() == 0 && !s.cfg.Members.View().Watches() {
			if !w.pauseAfter(ctx, w.readHead(ctx), start) {
				return
			}
		}
		if !wait.For(ctx, rolePoll) {
			return
		}
	}
}

// newPause returns exponential pauses with full jitter: each is random between
// 0 and twice the interval.
func newPause(longest time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = watchRetryFirst/2, longest/2
	b.Multiplier, b.RandomizationFactor = 2, 1
	return b
}

// pauseAfter waits after a failure and reports false if ctx ends.
func (w *watcher) pauseAfter(ctx context.Context, err error, pause *backoff.ExponentialBackOff) bool {
	if ctx.Err() != nil {
		return false
	}
	w.noteStore(err)
	if err == nil {
		pause.Reset()
		return true
	}
	return wait.For(ctx, pause.NextBackOff())
}

// noteStore logs when the store begins to fail and when it answers again.
func (w *watcher) noteStore(err error) {
	failing := err != nil && !errors.Is(err, errNoTables) && !errors.Is(err, errInvalid)
	switch {
	case failing && !w.failing:
		w.cfg.Events.Log(events.StoreDown, zap.Error(err))
	case !failing && w.failing:
		w.cfg.Events.Log(events.StoreBack)
	}
	w.failing = failing
}

// watchOnce waits for the next head.
func (w *watcher) watchOnce(ctx context.Context) error {
	if time.Since(w.read) >= rereadInterval {
		return w.readHead(ctx)
	}
	call, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	value, err := w.cfg.Store.Watch(call, tables.HeadKey, w.revision)
	return w.handleAnswer(ctx, value, err)
}

// readHead reads the head as it is.
func (w *watcher) readHead(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	value, err := w.cfg.Store.Get(call, tables.HeadKey)
	return w.handleAnswer(ctx, value, err)
}

// handleAnswer returns nil if the store answered and the tables are in force.
func (w *watcher) handleAnswer(ctx context.Context, value store.Value, err error) error {
	now := time.Now()
	switch {
	case errors.Is(err, store.ErrNotModified):
		w.confirm(w.head, now)
		return nil
	case errors.Is(err, store.ErrNotFound):
		w.handleMissing(now)
		return errNoTables
	case err != nil:
		return errors.Wrap(err, "read head")
	}
	if err := w.handleHead(ctx, value, now); err != nil {
		return err
	}
	w.revision = value.Revision
	w.read = now
	return nil
}

// handleMissing treats a store without tables as version 0.
func (w *watcher) handleMissing(now time.Time) {
	w.revision, w.head = 0, 0
	if w.Version() > 0 {
		w.refuseRegressed(0, 0)
		return
	}
	w.confirm(0, now)
}

// handleHead brings the tables to the version of the head.
func (w *watcher) handleHead(ctx context.Context, value store.Value, now time.Time) error {
	head, err := tables.DecodeHead(value.Data)
	if err != nil {
		return w.refuseInvalid(err, value.Revision)
	}
	have, same := w.Version(), true
	if current := w.Current(); current != nil {
		same = head.SameHistory(current)
	}
	if head.Version < have || head.Version == have && !same {
		w.head = 0 // confirms nothing
		w.refuseRegressed(head.Version, value.Revision)
		return nil
	}
	w.head = head.Version
	deltas, ok := head.DeltasSince(have)
	if !ok || !same {
		err = w.load(ctx, head, value.Revision)
	} else if err = w.apply(deltas, "", w.peers); err != nil {
		err = w.refuseInvalid(err, value.Revision)
	}
	if err != nil {
		return err
	}
	w.confirm(head.Version, now)
	return nil
}

// load reads the base that the head names and replays the deltas on it. It is
// also the way to the history of a store that was restored from a backup, once
// that has a higher version. The last delta is flooded as news for peers,
// which then fetch what they lack.
func (w *watcher) load(ctx context.Context, head *tables.Head, revision uint64) error {
	data, err := w.readBase(ctx, head.Base)
	if err != nil {
		return errors.Wrapf(err, "read base %d", head.Base)
	}
	base, err := tables.DecodeSnapshot(data)
	if err != nil {
		return w.refuseInvalid(errors.Wrapf(err, "base %d", head.Base), revision)
	}
	next, err := head.Replay(base, head.Version)
	if err != nil {
		return w.refuseInvalid(err, revision)
	}
	if w.replace(next) && len(head.Deltas) > 0 {
		w.peers.FloodTables(head.Version, head.Deltas[len(head.Deltas)-1].Encode(), "")
	}
	return nil
}

// readBase returns a whole version; 0 is the empty one, which has no key.
func (w *watcher) readBase(ctx context.Context, v tables.Version) ([]byte, error) {
	if v == 0 {
		return tables.Empty().Encode(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	value, err := w.cfg.Store.Get(ctx, tables.BaseKey(v))
	return value.Data, err
}

// refuseInvalid reports tables that cannot be used, once for each revision.
func (w *watcher) refuseInvalid(err error, revision uint64) error {
	if w.refused != revision {
		w.reportInvalid(err, "store")
	}
	w.refused = revision
	return errInvalid
}

// refuseRegressed reports a store that went back, once for each revision.
func (w *watcher) refuseRegressed(v tables.Version, revision uint64) {
	w.cfg.Metrics.Refused(metrics.TablesRegressed)
	if w.refused == revision && revision != 0 {
		return
	}
	w.refused = revision
	w.cfg.Events.Log(events.TablesRegressed,
		zap.Uint64("store_version", uint64(v)), zap.Uint64("version", uint64(w.Version())))
}
