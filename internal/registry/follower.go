package registry

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/pause"
	"knapweedshore.example/internal/wait"
)

// Timing of the follower.
const (
	// ListTimeout is the timeout of a listing.
	ListTimeout = 2 * time.Second
	// CoalesceDelay is the pause after a watch that returned changes, so that
	// the next call returns changes in quick succession together.
	CoalesceDelay = 150 * time.Millisecond
	// initialRetryDelay and maxRetryDelay are the first and the longest pause after
	// failed calls in a row. Pauses double, with up to half of each subtracted at
	// random. The longest one lets a daemon be up to date within 3 s after the store
	// is available again.
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDelay     = 800 * time.Millisecond
	// peersPerRetryShare is the number of peers with failing calls that lengthen the pauses by
	// their own length, up to maxRetryShare times. A store that refuses only some daemons
	// may then serve one 2.4 s before that one tries again.
	peersPerRetryShare = 4
	maxRetryShare      = 3
	// firstWatchWait is how long the store may hold the first watch of a daemon that takes
	// the watch over. Its answer shows that the watch works.
	firstWatchWait = 20 * time.Millisecond
	// expireInterval is the interval at which missing servers are checked for expiry.
	expireInterval = 250 * time.Millisecond
	// minPause is the shortest time without running that counts as a pause.
	minPause = 600 * time.Millisecond
	// maxReasonLength is the maximum length in bytes of the logged reason of a refusal.
	maxReasonLength = 500
	// roleCheckInterval is the interval at which a daemon that does not watch the
	// store checks whether it should.
	roleCheckInterval = 50 * time.Millisecond
)

// WatcherRole decides whether this daemon watches the store. The daemons that do
// not get the changes from those that do.
type WatcherRole interface {
	// ShouldWatch reports whether this daemon should watch the store now.
	ShouldWatch(now time.Time) bool
	// FailingPeers returns the number of other daemons whose calls to the store fail, as
	// far as they share this daemon's task.
	FailingPeers(now time.Time) int
}

// Follower keeps the directory up to date from the store and from peers. It is
// safe for concurrent use.
type Follower struct {
	source  Source
	decoder Decoder
	log     *events.Logger
	metrics *metrics.Registry

	watchTimes WatchTimes
	prefetch   func(ctx context.Context) bool

	// current and position are read without mu, because the onChange functions run
	// while it is held and take locks of their own.
	current  atomic.Pointer[directory.Directory]
	position atomic.Pointer[directory.Position]
	// watching is true from the first answer to a watch until a call fails or the
	// daemon stops watching.
	watching atomic.Bool
	// failing is true from a failed call until one succeeds or the daemon stops watching.
	failing   atomic.Bool
	freshness *freshness
	pauses    *pause.Monitor

	mu       sync.Mutex // guards state and builder, and orders calls of onChange
	state    *State
	builder  *directory.Builder
	onChange []func(*directory.Directory)
}

// Options configures a Follower.
type Options struct {
	Source  Source
	Decoder Decoder
	Log     *events.Logger
	Metrics *metrics.Registry
	// Watch limits how long a watch may go without an answer.
	Watch WatchTimes
	// Keep is how long servers are kept. The zero value means directory.DefaultRetention.
	Keep directory.Retention
	// Pauses, if set, is the monitor of the process's pauses. Messages that have waited in
	// a socket meanwhile do not tell what is current.
	Pauses *pause.Monitor
	// Prefetch, if set, fetches a complete directory from a peer before the first
	// call to the store. It reports whether it got and merged one.
	Prefetch func(ctx context.Context) bool
}

// WatchTimes limits how long a watch may go without an answer.
type WatchTimes struct {
	// Wait is how long the store may hold a watch without changes.
	Wait time.Duration
	// Slack is the additional time for the answer to arrive. A dead connection is
	// noticed after Wait plus Slack.
	Slack time.Duration
}

// WatchTimesFor returns the times for a recovery time after failures and a maximum
// delay of changes. The window is the shorter one of three quarters of the recovery
// time and the maximum delay. A dead connection is replaced after two thirds of it,
// so that changes missed on it are still in force in time: after 2 s where the
// maximum delay is 3 s.
func WatchTimesFor(recovery, maxDelay time.Duration) WatchTimes {
	window := min(recovery*3/4, maxDelay)
	return WatchTimes{Wait: window / 2, Slack: window / 6}
}

// MaxAge returns the age that a directory does not exceed while a watch of the
// store works.
func (w WatchTimes) MaxAge() time.Duration { return w.Wait + w.Slack + w.Slack/2 }

// NewFollower returns a Follower without a directory. Call Run to start it.
func NewFollower(o Options) *Follower {
	if o.Prefetch == nil {
		o.Prefetch = func(context.Context) bool { return false }
	}
	if o.Pauses == nil {
		o.Pauses = pause.NewMonitor(time.Now(), minPause)
	}
	if o.Keep == (directory.Retention{}) {
		o.Keep = directory.DefaultRetention
	}
	supersedes := func(next, known Item) bool {
		nextChange, _ := decode(o.Decoder, next)
		knownChange, _ := decode(o.Decoder, known)
		return directory.Supersedes(nextChange, knownChange)
	}
	f := &Follower{
		freshness: newFreshness(rand.Uint64()), pauses: o.Pauses, watchTimes: o.Watch, prefetch: o.Prefetch, source: o.Source, decoder: o.Decoder, log: o.Log, metrics: o.Metrics,
		state: NewState(supersedes), builder: directory.NewBuilderWith(o.Keep),
	}
	f.position.Store(&directory.Position{})
	return f
}

// Current returns the newest directory, or nil before the first configuration
// has arrived.
func (f *Follower) Current() *directory.Directory { return f.current.Load() }

// Watching reports whether this daemon watches the store and its watch is answered.
func (f *Follower) Watching() bool { return f.watching.Load() }

// StoreFailing reports whether this daemon tries to watch the store and its calls fail.
func (f *Follower) StoreFailing() bool { return f.failing.Load() }

// Age returns the time since the store last confirmed, directly or through peers,
// that the directory is the newest one. It is the maximum duration before the
// first confirmation.
func (f *Follower) Age(now time.Time) time.Duration {
	_, age := f.Freshness(now)
	return age
}

// Freshness returns the last confirmation that the directory is the newest one, and its
// age. Before the first one, the confirmation is zero and the age the maximum duration.
// A caller that passes them on with a position must read the position afterwards.
func (f *Follower) Freshness(now time.Time) (Confirmation, time.Duration) {
	f.freshness.handlePause(f.pauses.Tick(now))
	last, ok := f.freshness.latest()
	if !ok {
		return Confirmation{}, time.Duration(1<<63 - 1)
	}
	return last.Confirmation, max(0, now.Sub(last.at))
}

// Confirm records that p was the newest position of the store at the date of a confirmation.
// It came with a message that is read now and states its age. Confirm has no effect while
// this daemon is behind p, or if p belongs to an earlier era: who confirms it may not have
// noticed that the store was restored.
func (f *Follower) Confirm(p directory.Position, c Confirmation, age time.Duration, now time.Time) {
	f.freshness.handlePause(f.pauses.Tick(now))
	at, ok := f.freshness.date(c, now.Add(-age-f.pauses.MaxWait(now)))
	own := f.Position()
	if !ok || p.Era != own.Era || p.IsAfter(own) {
		return
	}
	f.freshness.confirm(c, at)
}

// confirmFromStore records that p was the newest position of the store at most age before
// its answer was read.
func (f *Follower) confirmFromStore(p directory.Position, age time.Duration, now time.Time) {
	f.Confirm(p, f.freshness.next(), age, now)
}

// Position returns the position of the store up to which all changes are known.
func (f *Follower) Position() directory.Position { return *f.position.Load() }

// ChangesSince returns what a peer at position have lacks: changes or a complete
// reading. The reading has position zero before anything was read.
func (f *Follower) ChangesSince(have directory.Position) Reading {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.ChangesSince(have)
}

// OnChange registers a function that is called with each new directory, in order. It
// must be called before Run.
func (f *Follower) OnChange(fn func(*directory.Directory)) { f.onChange = append(f.onChange, fn) }

// Run lists the store once unless Prefetch has provided a directory. It then
// watches the store whenever role asks for it, until ctx ends.
func (f *Follower) Run(ctx context.Context, role WatcherRole) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { f.expire(ctx) })
	if f.prefetch(ctx) {
		f.log.Log(events.DirectoryFromPeer, positionFields(f.Position())...)
	}
	// The store has no history after lost. A listing is needed unless a peer supplies a later
	// state before. At the start, nothing has been read yet.
	var lost directory.Position
	// failures counts the failed calls in a row, losses the watches without history since
	// the last one that was answered.
	failures, losses := 0, 0
	for ctx.Err() == nil {
		position := f.Position()
		listed := position != lost
		if listed && !role.ShouldWatch(time.Now()) {
			f.setWatching(false)
			f.failing.Store(false)
			failures = 0
			wait.For(ctx, roleCheckInterval)
			continue
		}
		var err error
		if listed {
			err = f.watch(ctx)
		} else {
			err = f.list(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		f.setWatching(listed && err == nil)
		f.failing.Store(err != nil && !errors.Is(err, ErrHistoryLost))
		if err == nil {
			f.logRecovery(failures)
			failures, lost = 0, directory.Position{}
			if listed {
				losses = 0
			}
			continue
		}
		f.recordFailure(err, failures)
		failures++
		if errors.Is(err, ErrHistoryLost) {
			lost = position
			losses++
			if losses > 1 {
				wait.For(ctx, retryPause(losses, 0))
			}
			continue
		}
		f.source.Close()
		wait.For(ctx, retryPause(failures, role.FailingPeers(time.Now())))
	}
}

// setWatching sets whether the watch works and logs a change.
func (f *Follower) setWatching(on bool) {
	if f.watching.Swap(on) != on {
		f.log.Log(events.StoreWatchChanged, zap.Bool("watching", on))
	}
}

// retryPause returns a random pause after a number of failures in a row. Peers whose calls
// fail too count like failures, and if there are many, each daemon takes longer pauses: any of
// them that is answered supplies the others.
func retryPause(failures, failingPeers int) time.Duration {
	p := maxRetryDelay
	if shift := failures - 1 + failingPeers; shift < 5 {
		p = min(maxRetryDelay, initialRetryDelay<<shift)
	}
	p *= time.Duration(1 + min(maxRetryShare-1, failingPeers/peersPerRetryShare))
	return p/2 + rand.N(p/2)
}

// list reads all items of the store.
func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ListTimeout)
	defer cancel()
	f.metrics.Count(metrics.StoreCalls, 1)
	sentAt := time.Now()
	reading, err := f.source.List(ctx)
	if err != nil {
		return err
	}
	before := f.Position()
	if reading.Era < before.Era {
		return errors.Wrapf(ErrUnavailable, "listing of era %d after era %d", reading.Era, before.Era)
	}
	changed := f.Merge(reading, "store")
	f.log.Log(events.StoreListed, append(positionFields(reading.Position), zap.Stringer("own_position", before),
		zap.Int("items", len(reading.Items)), zap.Int("changed", changed))...)
	now := time.Now()
	f.confirmFromStore(reading.Position, now.Sub(sentAt), now)
	return nil
}

// watch makes one watch call and merges the changes.
func (f *Follower) watch(ctx context.Context) error {
	after, hold := f.Position(), f.watchTimes.Wait
	if !f.Watching() {
		hold = firstWatchWait
	}
	watchCtx, cancel := context.WithTimeout(ctx, f.watchTimes.Wait+f.watchTimes.Slack)
	defer cancel()
	f.metrics.Count(metrics.StoreCalls, 1)
	reading, err := f.source.Watch(watchCtx, after.Revision, hold)
	if err != nil {
		return err
	}
	if reading.Era != after.Era {
		return errors.Wrapf(ErrHistoryLost, "watch of era %d after position %s", reading.Era, after)
	}
	f.Merge(reading, "store")
	f.confirmFromStore(reading.Position, 0, time.Now())
	if len(reading.Items) > 0 {
		wait.For(ctx, CoalesceDelay)
	}
	return nil
}

// positionFields returns the log fields of a position.
func positionFields(p directory.Position) []zap.Field {
	return []zap.Field{zap.Uint64("era", p.Era), zap.Uint64("revision", p.Revision)}
}

// Merge applies the changes of a reading, publishes the new directory and returns the
// number of items that changed. The origin of the reading, from, is written to the log.
func (f *Follower) Merge(r Reading, from string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	before := f.state.Position()
	items, kept := f.state.Merge(r, now)
	if r.Era > before.Era && !before.IsZero() && f.state.Position().Era == r.Era {
		f.log.Log(events.StoreRestored, append(positionFields(r.Position), zap.Stringer("own_position", before), zap.String("from", from),
			zap.Int("items", len(r.Items)), zap.Int("kept", kept))...)
	}
	changes := make([]directory.Change, 0, len(items))
	for _, i := range items {
		if c, ok := decode(f.decoder, i); ok {
			changes = append(changes, c)
		}
	}
	refused := f.builder.Apply(changes, f.state.Position(), now)
	for _, x := range refused {
		f.log.Log(events.ItemRefused, zap.Uint64("revision", x.Revision), zap.String("subject", x.Subject), zap.String("reason", truncate(x.Reason)))
	}
	after := f.state.Position()
	if len(changes) > 0 || after.IsAfter(before) {
		f.publish(from)
	}
	f.position.Store(&after)
	return len(items)
}

// truncate shortens the reason of a refusal, which may quote a value of any size.
func truncate(reason string) string {
	if len(reason) <= maxReasonLength {
		return reason
	}
	return strings.ToValidUTF8(reason[:maxReasonLength], "") + "..."
}

// decode returns the change that an item stands for. It reports false if the item does not
// concern the directory. The change of a deleted server includes the server's last record.
func decode(d Decoder, i Item) (directory.Change, bool) {
	c, ok := decodeVM(i)
	if !ok {
		c, ok = d.Decode(i)
	}
	if i.Deleted && len(i.Value) > 0 {
		last := i
		last.Deleted = false
		if before, decodes := d.Decode(last); decodes {
			c.LastState = before.Server
		}
	}
	c.ReadAt, c.Lost = i.ReadAt, i.Lost
	return c, ok
}

// publish builds the current directory and passes it to the onChange functions.
// The caller holds f.mu.
func (f *Follower) publish(from string) {
	if !f.builder.Ready() {
		return
	}
	next := f.builder.Build()
	old := f.current.Swap(next)
	if old == nil || old.Config.Version != next.Config.Version || old.ServerCount() != next.ServerCount() {
		f.log.Log(events.DirectoryApplied, append(positionFields(next.Position), zap.String("from", from),
			zap.Uint64("config_version", next.Config.Version), zap.Int("routes", len(next.Config.Routes)),
			zap.Int("servers", next.ServerCount()))...)
	}
	f.logEvacuations(old, next)
	for _, fn := range f.onChange {
		fn(next)
	}
}

// logEvacuations logs the zones that are evacuated in only one of two directories. The old
// one may be nil.
func (f *Follower) logEvacuations(old, next *directory.Directory) {
	log := func(event events.Event, in, notIn *directory.Directory) {
		for _, e := range in.Evacuations() {
			if notIn == nil || !notIn.Evacuated(e.Zone) {
				f.log.Log(event, zap.String("zone", e.Zone), zap.Time("since", e.Since), zap.Stringer("written_at", e.Position),
					zap.Int("servers", next.ServersIn(e.Zone)), zap.Stringer("position", next.Position))
			}
		}
	}
	log(events.ZoneEvacuated, next, old)
	if old != nil {
		log(events.ZoneReturned, old, next)
	}
}

// expire retires servers whose registration has been missing for too long.
func (f *Follower) expire(ctx context.Context) {
	for wait.For(ctx, expireInterval) {
		now := time.Now()
		f.freshness.handlePause(f.pauses.Tick(now))
		f.mu.Lock()
		confirmed, _ := f.freshness.latest()
		if f.builder.Expire(now, confirmed.at) {
			f.publish("expiry")
		}
		f.mu.Unlock()
	}
}

// recordFailure counts a failed call and logs the first one in a row.
func (f *Follower) recordFailure(err error, failures int) {
	f.metrics.Retried(reasonOf(err))
	if failures == 0 {
		f.log.Log(events.StoreDown, events.ErrorMessage(err), zap.Duration("age", f.Age(time.Now())))
	}
}

// reasonOf returns the reason under which metrics count an error of the source.
func reasonOf(err error) metrics.Reason {
	switch {
	case errors.Is(err, ErrHistoryLost):
		return metrics.HistoryLost
	case errors.Is(err, ErrThrottled):
		return metrics.StoreThrottled
	case errors.Is(err, context.DeadlineExceeded):
		return metrics.StoreTimeout
	}
	return metrics.StoreUnavailable
}

// logRecovery logs the end of a number of failures in a row.
func (f *Follower) logRecovery(failures int) {
	if failures > 0 {
		f.log.Log(events.StoreRecovered, zap.Int("failed_calls", failures))
	}
}
