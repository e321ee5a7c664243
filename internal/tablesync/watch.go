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
	// startupWait is how long a starting daemon waits for tables from its peers before it
	// calls the store. When a fleet restarts, only a few members thus read the store.
	startupWait = time.Second
	// roleCheckInterval is the interval at which a daemon checks whether it is a watcher.
	roleCheckInterval = 250 * time.Millisecond
	// watchTimeout is the timeout of one long poll, whose connection can be dead. It
	// leaves the store client time for its own timeout and call rate limit.
	watchTimeout = store.WatchWait + store.WatchSlack + time.Second
	// readTimeout is the timeout of one read.
	readTimeout = 2 * time.Second
	// initialWatchRetry and maxWatchRetry are the first and the longest pause after
	// failed watches in a row. The longest one is short, because a change accepted right
	// after an outage must be in force within 5 s. The two watchers of each zone still
	// make few calls.
	initialWatchRetry = 200 * time.Millisecond
	maxWatchRetry     = 2 * time.Second
	// maxStartRetry is the longest pause after failed reads of a starting daemon that
	// is not a watcher.
	maxStartRetry = 30 * time.Second
	// rereadInterval is the interval at which a watcher reads the head without waiting
	// for a higher revision. A store that was restored from a backup may never reach the
	// revision that the watch waits for.
	rereadInterval = time.Minute
)

// watcher holds the state of a daemon's watch of the head.
type watcher struct {
	*Syncer
	peers           Peers
	headRevision    uint64         // of the head that was last handled
	headVersion     tables.Version // of that head
	lastHeadRead    time.Time
	refusedRevision uint64 // revision of the head that was last refused
	storeFailing    bool
}

// Errors for answers of the store without usable tables.
var (
	// errNoTables means that no tables have been written yet.
	errNoTables = errors.New("store has no tables")
	// errInvalid means that the tables are invalid, which has been logged.
	errInvalid = errors.New("store has invalid tables")
)

// watchStore watches the head while this daemon is a watcher of its zone. Otherwise it
// reads the store only as long as the daemon has no tables.
func (s *Syncer) watchStore(ctx context.Context, peers Peers) {
	w := &watcher{Syncer: s, peers: peers}
	for started := time.Now(); s.Version() == 0 && time.Since(started) < startupWait; {
		if !wait.For(ctx, followInterval) {
			return
		}
	}
	for {
		watchPause := newBackOff(maxWatchRetry)
		for s.cfg.Members.View().ShouldWatch() {
			if !w.pauseAfter(ctx, w.watchOnce(ctx), watchPause) {
				return
			}
		}
		startPause := newBackOff(maxStartRetry)
		for s.Version() == 0 && !s.cfg.Members.View().ShouldWatch() {
			if !w.pauseAfter(ctx, w.readHead(ctx), startPause) {
				return
			}
		}
		if !wait.For(ctx, roleCheckInterval) {
			return
		}
	}
}

// newBackOff returns an exponential backoff with full jitter: pauses are random between
// 0 and twice the interval, which is why the bounds are halved.
func newBackOff(maxPause time.Duration) *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = initialWatchRetry/2, maxPause/2
	b.Multiplier, b.RandomizationFactor = 2, 1
	return b
}

// pauseAfter logs the state of the store after a call, and waits if the call failed. It
// reports false if ctx ends.
func (w *watcher) pauseAfter(ctx context.Context, err error, pause *backoff.ExponentialBackOff) bool {
	if ctx.Err() != nil {
		return false
	}
	w.logStoreState(err)
	if err == nil {
		pause.Reset()
		return true
	}
	return wait.For(ctx, pause.NextBackOff())
}

// logStoreState logs when the store starts to fail and when it answers again.
func (w *watcher) logStoreState(err error) {
	failing := err != nil && !errors.Is(err, errNoTables) && !errors.Is(err, errInvalid)
	switch {
	case failing && !w.storeFailing:
		w.cfg.Events.Log(events.StoreDown, zap.Error(err))
	case !failing && w.storeFailing:
		w.cfg.Events.Log(events.StoreRecovered)
	}
	w.storeFailing = failing
}

// watchOnce makes one long poll for the next head. It reads the head instead if that is due,
// and after a failed call, since the store may have come back from a backup.
func (w *watcher) watchOnce(ctx context.Context) error {
	if w.storeFailing || time.Since(w.lastHeadRead) >= rereadInterval {
		return w.readHead(ctx)
	}
	callCtx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	value, err := w.cfg.Store.Watch(callCtx, tables.HeadKey, w.headRevision)
	return w.handleAnswer(ctx, value, err)
}

// readHead reads the current head.
func (w *watcher) readHead(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	value, err := w.cfg.Store.Get(callCtx, tables.HeadKey)
	return w.handleAnswer(ctx, value, err)
}

// handleAnswer processes the result of a call for the head. It returns nil if the store
// answered and its tables are in force, or were refused as older ones.
func (w *watcher) handleAnswer(ctx context.Context, value store.Value, err error) error {
	now := time.Now()
	switch {
	case errors.Is(err, store.ErrNotModified):
		w.confirm(w.headVersion, now)
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
	w.headRevision = value.Revision
	w.lastHeadRead = now
	return nil
}

// handleMissing handles a store without tables as one with version 0.
func (w *watcher) handleMissing(now time.Time) {
	w.headRevision, w.headVersion = 0, 0
	if w.Version() > 0 {
		w.refuseRegressed(0, 0)
		return
	}
	w.confirm(0, now)
}

// handleHead brings the tables to the version of the head unless that is older.
func (w *watcher) handleHead(ctx context.Context, value store.Value, now time.Time) error {
	head, err := tables.DecodeHead(value.Data)
	if err != nil {
		return w.refuseInvalid(err, value.Revision)
	}
	have, sameHistory := w.Version(), true
	if current := w.Current(); current != nil {
		sameHistory = head.SameHistory(current)
	}
	if head.Version < have || head.Version == have && !sameHistory {
		w.headVersion = 0 // this head does not confirm the version in force
		w.refuseRegressed(head.Version, value.Revision)
		return nil
	}
	w.headVersion = head.Version
	deltas, ok := head.DeltasSince(have)
	if !ok || !sameHistory {
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

// load reads the base that the head names and replays the deltas on it. It is also used
// to switch to the history of a store that was restored from a backup, once that has a
// higher version. The last delta is flooded to announce the version to peers, which
// then fetch what they lack.
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

// readBase returns the encoded tables of a base version. Version 0 is empty and has no
// key in the store.
func (w *watcher) readBase(ctx context.Context, v tables.Version) ([]byte, error) {
	if v == 0 {
		return tables.Empty().Encode(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	value, err := w.cfg.Store.Get(ctx, tables.BaseKey(v))
	return value.Data, err
}

// refuseInvalid logs invalid tables, once for each revision, and returns errInvalid.
func (w *watcher) refuseInvalid(err error, revision uint64) error {
	if w.refusedRevision != revision {
		w.logInvalid(err, "store")
	}
	w.refusedRevision = revision
	return errInvalid
}

// refuseRegressed counts and logs a store that went back to an older version, or to the
// same version of another history. It logs once for each revision, and each time if the
// store has no tables, which is revision 0.
func (w *watcher) refuseRegressed(v tables.Version, revision uint64) {
	w.cfg.Metrics.Refused(metrics.TablesRegressed)
	if w.refusedRevision == revision && revision != 0 {
		return
	}
	w.refusedRevision = revision
	w.cfg.Events.Log(events.TablesRegressed,
		zap.Uint64("store_version", uint64(v)), zap.Uint64("version", uint64(w.Version())))
}
