package registry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/wait"
)

// Times of the follower.
const (
	// WatchWait is how long a watch may be silent. A connection that went silent
	// is noticed WatchWait+WatchSlack after it was last used, which leaves half a
	// second of the 3 s within which a change has to be in force.
	WatchWait  = 1500 * time.Millisecond
	WatchSlack = 500 * time.Millisecond
	// ListTimeout bounds a listing.
	ListTimeout = 2 * time.Second
	// CoalescePause is waited after a watch that returned changes, so that
	// changes in quick succession cost one call.
	CoalescePause = 150 * time.Millisecond
	// firstRetry and longestRetry bound the pause after a failed call, which
	// doubles and is random in its upper half. The longest one leaves time to be
	// up to date within 3 s of the source's return.
	firstRetry   = 50 * time.Millisecond
	longestRetry = 800 * time.Millisecond
	// expireInterval is how often missing servers are looked at.
	expireInterval = 250 * time.Millisecond
)

// Follower keeps the newest directory.
type Follower struct {
	source  Source
	log     *events.Logger
	metrics *metrics.Registry

	current atomic.Pointer[directory.Directory]
	// epoch is what confirmed, the time of the last answer, is counted from, so
	// that steps of the time of day do not change ages.
	epoch     time.Time
	confirmed atomic.Int64

	mu       sync.Mutex // guards builder, listeners
	builder  *directory.Builder
	onChange []func(*directory.Directory)
}

// NewFollower returns a follower that has read nothing yet.
func NewFollower(source Source, log *events.Logger, m *metrics.Registry) *Follower {
	return &Follower{epoch: time.Now(), source: source, log: log, metrics: m, builder: directory.NewBuilder()}
}

// Current returns the newest directory, or nil before the first configuration.
func (f *Follower) Current() *directory.Directory { return f.current.Load() }

// Age returns how long ago the source last confirmed the directory.
func (f *Follower) Age(now time.Time) time.Duration {
	at := f.confirmed.Load()
	if at == 0 {
		return time.Duration(1<<63 - 1)
	}
	return now.Sub(f.epoch) - time.Duration(at)
}

// OnChange registers a function that is called with each new directory, in
// order. Call it before Run.
func (f *Follower) OnChange(fn func(*directory.Directory)) { f.onChange = append(f.onChange, fn) }

// Run follows the source until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	go f.expire(ctx)
	listed := false
	failures := 0
	for ctx.Err() == nil {
		var err error
		if listed {
			err = f.watch(ctx)
		} else {
			err = f.list(ctx)
			listed = err == nil
		}
		if err == nil {
			f.recovered(failures)
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		f.failed(err, failures)
		failures++
		if errors.Is(err, ErrHistoryLost) {
			listed = false
			continue
		}
		f.source.Close()
		wait.For(ctx, retryPause(failures))
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
	reading, err := f.source.List(ctx)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	refused := f.builder.Reset(reading.Items, reading.Revision, time.Now())
	f.publish(refused)
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	after := f.revision()
	watchCtx, cancel := context.WithTimeout(ctx, WatchWait+WatchSlack)
	defer cancel()
	f.metrics.Count(metrics.StoreCalls, 1)
	reading, err := f.source.Watch(watchCtx, after, WatchWait)
	if err != nil {
		return err
	}
	f.confirmed.Store(int64(time.Since(f.epoch)))
	if len(reading.Items) == 0 && reading.Revision <= after {
		return nil
	}
	f.mu.Lock()
	refused := f.builder.Apply(reading.Items, reading.Revision, time.Now())
	f.publish(refused)
	f.mu.Unlock()
	wait.For(ctx, CoalescePause)
	return nil
}

func (f *Follower) revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.builder.Revision()
}

// publish makes the builder's state the current directory. f.mu is held.
func (f *Follower) publish(refused []directory.Refusal) {
	f.confirmed.Store(int64(time.Since(f.epoch)))
	for _, r := range refused {
		f.log.Log(events.ItemRefused, zap.Uint64("revision", r.Revision), zap.String("subject", r.Subject), zap.String("reason", r.Reason))
	}
	f.rebuild()
}

func (f *Follower) rebuild() {
	if !f.builder.Ready() {
		return
	}
	next := f.builder.Build()
	old := f.current.Swap(next)
	if old == nil || old.Config.Version != next.Config.Version || old.Servers() != next.Servers() {
		f.log.Log(events.DirectoryApplied, zap.Uint64("revision", next.Revision),
			zap.Uint64("config_version", next.Config.Version), zap.Int("routes", len(next.Config.Routes)),
			zap.Int("servers", next.Servers()))
	}
	for _, fn := range f.onChange {
		fn(next)
	}
}

// expire retires servers whose registration has not come back.
func (f *Follower) expire(ctx context.Context) {
	for wait.For(ctx, expireInterval) {
		f.mu.Lock()
		if f.builder.Expire(time.Now()) {
			f.rebuild()
		}
		f.mu.Unlock()
	}
}

func (f *Follower) failed(err error, failures int) {
	f.metrics.Retried(reasonOf(err))
	if failures == 0 {
		f.log.Log(events.StoreDown, zap.Error(err), zap.Duration("age", f.Age(time.Now())))
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
