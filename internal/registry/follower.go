package registry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/wait"
)

// Times of the follower.
const (
	// ListTimeout bounds a listing.
	ListTimeout = 2 * time.Second
	// CoalesceDelay is waited after a watch that returned changes, so that
	// changes in quick succession cost one call.
	CoalesceDelay = 150 * time.Millisecond
	// firstRetry and longestRetry bound the pause after a failed call, which
	// doubles and is random in its upper half. The longest one leaves time to be
	// up to date within 3 s of the store's return.
	firstRetry   = 50 * time.Millisecond
	longestRetry = 800 * time.Millisecond
	// expireInterval is how often missing servers are looked at.
	expireInterval = 250 * time.Millisecond
	// idleInterval is how often a daemon that does not watch checks whether it
	// has to.
	idleInterval = 50 * time.Millisecond
)

// WatcherRole decides whether this daemon watches the store. The other daemons of its
// zone get the changes from those that do.
type WatcherRole interface {
	// ShouldWatch reports whether this daemon has to watch now.
	ShouldWatch(now time.Time) bool
}

// Follower keeps the newest directory.
type Follower struct {
	source  Source
	decoder Decoder
	log     *events.Logger
	metrics *metrics.Registry

	watchTimes WatchTimes
	prefetch   func(ctx context.Context) bool

	// current and revision are read without the lock: listeners of a change, which
	// run under it, have locks of their own.
	current  atomic.Pointer[directory.Directory]
	revision atomic.Uint64
	// watching is set from the first answer of a watch until a call fails or the
	// duty ends.
	watching atomic.Bool
	// epoch is what confirmed, the time of the last confirmation, is counted
	// from, so that steps of the time of day do not change ages.
	epoch     time.Time
	confirmed atomic.Int64

	mu       sync.Mutex // guards state and builder, and orders publications
	state    *State
	builder  *directory.Builder
	onChange []func(*directory.Directory)
}

// Options are what a Follower is built from.
type Options struct {
	Source  Source
	Decoder Decoder
	Log     *events.Logger
	Metrics *metrics.Registry
	// Watch bounds the silence of a watch.
	Watch WatchTimes
	// Keep is for how long servers are kept; zero is directory.DefaultKeep.
	Keep directory.Retention
	// Prefetch, if set, asks the peers for a complete directory before the store
	// is asked, and reports whether it was offered.
	Prefetch func(ctx context.Context) bool
}

// WatchTimes bound the silence of a watch.
type WatchTimes struct {
	// Wait is how long the store may hold a watch without changes.
	Wait time.Duration
	// Slack is added for the answer. A connection that went silent is noticed
	// after Wait and Slack.
	Slack time.Duration
}

// WatchTimesFor returns the times for a recovery time after failures, and for the
// time within which changes are acted upon. A connection that went silent alone is
// replaced after two thirds of the shorter one, so that the changes that it should
// have told are still in time: 2 s of the platform's 3 s.
func WatchTimesFor(recovery, fresh time.Duration) WatchTimes {
	window := min(recovery*3/4, fresh)
	return WatchTimes{Wait: window / 2, Slack: window / 6}
}

// MaxAge is the age of a directory that no working watch exceeds.
func (w WatchTimes) MaxAge() time.Duration { return w.Wait + w.Slack + w.Slack/2 }

// NewFollower returns a follower that has read nothing yet.
func NewFollower(o Options) *Follower {
	if o.Prefetch == nil {
		o.Prefetch = func(context.Context) bool { return false }
	}
	if o.Keep == (directory.Retention{}) {
		o.Keep = directory.DefaultRetention
	}
	return &Follower{
		epoch: time.Now(), watchTimes: o.Watch, prefetch: o.Prefetch, source: o.Source, decoder: o.Decoder, log: o.Log, metrics: o.Metrics,
		state: NewState(), builder: directory.NewBuilderWith(o.Keep),
	}
}

// Current returns the newest directory, or nil before the first configuration.
func (f *Follower) Current() *directory.Directory { return f.current.Load() }

// Watching reports whether this daemon watches the store and gets answers.
func (f *Follower) Watching() bool { return f.watching.Load() }

// Age returns how long ago the store last confirmed the directory, directly or
// through peers.
func (f *Follower) Age(now time.Time) time.Duration {
	at := f.confirmed.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return max(0, now.Sub(f.epoch)-time.Duration(at))
}

// Confirm notes that a revision was the newest one at a time. It is ignored
// while this daemon lacks the revision.
func (f *Follower) Confirm(revision uint64, at time.Time) {
	if f.Revision() < revision {
		return
	}
	next := int64(at.Sub(f.epoch))
	for {
		old := f.confirmed.Load()
		if next <= old || f.confirmed.CompareAndSwap(old, next) {
			return
		}
	}
}

// Revision returns the revision up to which all changes are known.
func (f *Follower) Revision() uint64 { return f.revision.Load() }

// ChangesSince returns what a peer with a revision lacks. The reading has revision 0
// while nothing is known.
func (f *Follower) ChangesSince(have uint64) Reading {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state.ChangesSince(have)
}

// OnChange registers a function that is called with each new directory, in
// order. Call it before Run.
func (f *Follower) OnChange(fn func(*directory.Directory)) { f.onChange = append(f.onChange, fn) }

// Run follows the store until ctx ends, as far as it is this daemon's duty.
func (f *Follower) Run(ctx context.Context, duty WatcherRole) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { f.expire(ctx) })
	if f.prefetch(ctx) {
		f.log.Log(events.PeersHelpedStart, zap.Uint64("revision", f.Revision()))
	}
	relist := false
	failures := 0
	for ctx.Err() == nil {
		known := f.Revision() > 0 && !relist
		if known && !duty.ShouldWatch(time.Now()) {
			f.setWatching(false)
			failures = 0
			wait.For(ctx, idleInterval)
			continue
		}
		var err error
		if known {
			err = f.watch(ctx)
		} else {
			err = f.list(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		f.setWatching(known && err == nil)
		if err == nil {
			f.recovered(failures)
			relist, failures = false, 0
			continue
		}
		f.failed(err, failures)
		failures++
		if errors.Is(err, ErrHistoryLost) {
			relist = true
			continue
		}
		f.source.Close()
		wait.For(ctx, retryPause(failures))
	}
}

func (f *Follower) setWatching(on bool) {
	if f.watching.Swap(on) != on {
		f.log.Log(events.WatchDuty, zap.Bool("watching", on))
	}
}

// retryPause returns the pause after so many failures in a row.
func retryPause(failures int) time.Duration {
	p := longestRetry
	if shift := failures - 1; shift < 5 {
		p = min(longestRetry, firstRetry<<shift)
	}
	return p/2 + rand.N(p/2)
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ListTimeout)
	defer cancel()
	f.metrics.Count(metrics.StoreCalls, 1)
	asked := time.Now()
	reading, err := f.source.List(ctx)
	if err != nil {
		return err
	}
	f.Merge(reading, "store")
	f.Confirm(reading.Revision, asked)
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	after := f.Revision()
	watchCtx, cancel := context.WithTimeout(ctx, f.watchTimes.Wait+f.watchTimes.Slack)
	defer cancel()
	f.metrics.Count(metrics.StoreCalls, 1)
	reading, err := f.source.Watch(watchCtx, after, f.watchTimes.Wait)
	if err != nil {
		return err
	}
	f.Merge(reading, "store")
	f.Confirm(reading.Revision, time.Now())
	if len(reading.Items) > 0 {
		wait.For(ctx, CoalesceDelay)
	}
	return nil
}

// Merge takes over what is new in a reading; from names its origin in the log.
func (f *Follower) Merge(r Reading, from string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	before := f.state.Revision()
	items := f.state.Merge(r, now)
	changes := make([]directory.Change, 0, len(items))
	for _, i := range items {
		if c, ok := f.decode(i); ok {
			changes = append(changes, c)
		}
	}
	refused := f.builder.Apply(changes, f.state.Revision(), now)
	for _, x := range refused {
		f.log.Log(events.ItemRefused, zap.Uint64("revision", x.Revision), zap.String("subject", x.Subject), zap.String("reason", x.Reason))
	}
	if len(changes) > 0 || f.state.Revision() > before {
		f.publish(from)
	}
	f.revision.Store(f.state.Revision())
}

func (f *Follower) decode(i Item) (directory.Change, bool) {
	c, ok := decodeVM(i)
	if !ok {
		c, ok = f.decoder.Decode(i)
	}
	if i.Deleted && len(i.Value) > 0 {
		last := i
		last.Deleted = false
		if before, decodes := f.decoder.Decode(last); decodes {
			c.LastState = before.Server
		}
	}
	c.ReadAt = i.ReadAt
	return c, ok
}

// publish makes the builder's state the current directory. f.mu is held.
func (f *Follower) publish(from string) {
	if !f.builder.Ready() {
		return
	}
	next := f.builder.Build()
	old := f.current.Swap(next)
	if old == nil || old.Config.Version != next.Config.Version || old.ServerCount() != next.ServerCount() {
		f.log.Log(events.DirectoryApplied, zap.Uint64("revision", next.Revision), zap.String("from", from),
			zap.Uint64("config_version", next.Config.Version), zap.Int("routes", len(next.Config.Routes)),
			zap.Int("servers", next.ServerCount()))
	}
	for _, fn := range f.onChange {
		fn(next)
	}
}

// expire retires servers whose registration has not come back.
func (f *Follower) expire(ctx context.Context) {
	for wait.For(ctx, expireInterval) {
		f.mu.Lock()
		if f.builder.Expire(time.Now(), f.epoch.Add(time.Duration(f.confirmed.Load()))) {
			f.publish("expiry")
		}
		f.mu.Unlock()
	}
}

func (f *Follower) failed(err error, failures int) {
	f.metrics.Retried(reasonOf(err))
	if failures == 0 {
		f.log.Log(events.StoreDown, events.Cause(err), zap.Duration("age", f.Age(time.Now())))
	}
}

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

func (f *Follower) recovered(failures int) {
	if failures > 0 {
		f.log.Log(events.StoreBack, zap.Int("failed_calls", failures))
	}
}
