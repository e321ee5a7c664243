package store

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"knapweedshore.example/internal/metrics"
)

// Defaults of a daemon's calls.
const (
	// CallTimeout bounds one attempt.
	CallTimeout = 2 * time.Second
	// CallsPerSecond is how many calls a daemon makes at most, so that the
	// fleet stays within the service's rate limits when it recovers.
	CallsPerSecond = 2

	// Pauses are uniformly random between 0 and an interval that doubles from
	// firstPause to longestPause.
	firstPause   = 200 * time.Millisecond
	longestPause = 30 * time.Second

	// The retry budget: each call earns a tenth of a retry, each second one.
	retriesPerCall   = 0.1
	retriesPerSecond = 1
	maxSavedRetries  = 10
)

// BudgetOptions configures a Budget. Zero fields get their defaults.
type BudgetOptions struct {
	// Metrics counts calls, retries by reason and refusals.
	Metrics *metrics.Registry
	// CallsPerSecond replaces the default of a daemon.
	CallsPerSecond int
}

// Budget is a Store that bounds the calls to another Store: with a deadline, a
// call budget, and retries within a retry budget.
//
// Get and VMs are retried until ctx ends or the retry budget is used up. Swap
// is retried only when the service said that it did nothing. Watch makes one
// attempt, because its callers call it again anyway and choose the pause.
type Budget struct {
	next    Store
	metrics *metrics.Registry
	calls   *rate.Limiter
	retries retryBudget

	mu          sync.Mutex
	watchFailed metrics.Reason // of the previous watch
}

var _ Store = (*Budget)(nil)

// NewBudget returns a Store that bounds the calls to next.
func NewBudget(next Store, o BudgetOptions) *Budget {
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	if o.CallsPerSecond == 0 {
		o.CallsPerSecond = CallsPerSecond
	}
	return &Budget{
		next:    next,
		metrics: o.Metrics,
		calls:   rate.NewLimiter(rate.Limit(o.CallsPerSecond), o.CallsPerSecond),
		retries: retryBudget{tokens: maxSavedRetries},
	}
}

// Get implements Store.
func (b *Budget) Get(ctx context.Context, key string) (Value, error) {
	return retry(ctx, b, func(ctx context.Context) (Value, error) { return b.next.Get(ctx, key) })
}

// Swap implements Store.
func (b *Budget) Swap(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	return retry(ctx, b, func(ctx context.Context) (uint64, error) {
		return b.next.Swap(ctx, key, data, revision)
	})
}

// VMs implements Store.
func (b *Budget) VMs(ctx context.Context) ([]VM, error) { return retry(ctx, b, b.next.VMs) }

// Watch implements Store.
func (b *Budget) Watch(ctx context.Context, key string, after uint64) (Value, error) {
	b.countWatchRetry()
	v, err := attempt(ctx, b, WatchWait+WatchSlack, func(ctx context.Context) (Value, error) {
		return b.next.Watch(ctx, key, after)
	})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.watchFailed, _ = retryReason(err)
	return v, err
}

func (b *Budget) countWatchRetry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.watchFailed != "" {
		b.metrics.Retried(b.watchFailed)
	}
	b.watchFailed = ""
}

// retry makes attempts until one succeeds, fails for good, ctx ends, or the
// retry budget is used up. It returns the error of the last attempt.
func retry[T any](ctx context.Context, b *Budget, call func(context.Context) (T, error)) (T, error) {
	b.retries.earn(retriesPerCall)
	var last error
	v, err := backoff.Retry(ctx, func() (T, error) {
		v, err := attempt(ctx, b, CallTimeout, call)
		last = err
		if err == nil {
			return v, nil
		}
		if _, again := retryReason(err); !again || ctx.Err() != nil {
			return v, backoff.Permanent(err)
		}
		if !b.retries.take(time.Now()) {
			b.metrics.Refused(metrics.StoreBudget)
			return v, backoff.Permanent(errors.Wrap(err, "retry budget is used up"))
		}
		return v, err
	}, backoff.WithBackOff(fullJitter()), backoff.WithMaxElapsedTime(0),
		backoff.WithNotify(func(err error, _ time.Duration) {
			reason, _ := retryReason(err)
			b.metrics.Retried(reason)
		}))
	if err != nil && ctx.Err() != nil && last != nil {
		err = last // says more than that ctx ended during a pause
	}
	return v, err
}

// fullJitter returns pauses from 0 to an interval that doubles. The library
// takes the interval's middle and a factor around it.
func fullJitter() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval:     firstPause / 2,
		MaxInterval:         longestPause / 2,
		Multiplier:          2,
		RandomizationFactor: 1,
	}
}

// attempt makes one call within the call budget and a deadline.
func attempt[T any](ctx context.Context, b *Budget, deadline time.Duration, call func(context.Context) (T, error)) (T, error) {
	if err := b.calls.Wait(ctx); err != nil {
		b.metrics.Refused(metrics.StoreBudget)
		var zero T
		return zero, &CallError{ErrUnavailable, errors.Wrap(err, "call budget")}
	}
	b.metrics.Count(metrics.StoreCalls, 1)
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	return call(ctx)
}

// retryReason returns the counter of a failure, and whether the call may be
// repeated without harm.
func retryReason(err error) (metrics.Reason, bool) {
	switch {
	case err == nil, errors.Is(err, ErrUnknownOutcome):
		return "", false
	case errors.Is(err, context.DeadlineExceeded):
		return metrics.StoreTimeout, true
	case errors.Is(err, ErrThrottled):
		return metrics.StoreThrottled, true
	case errors.Is(err, ErrUnavailable):
		return metrics.StoreUnavailable, true
	}
	return "", false
}

// retryBudget bounds retries to a share of the calls and a rate.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
	last   time.Time
}

func (r *retryBudget) earn(n float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(r.tokens+n, maxSavedRetries)
}

func (r *retryBudget) take(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.last.IsZero() {
		r.tokens = min(r.tokens+now.Sub(r.last).Seconds()*retriesPerSecond, maxSavedRetries)
	}
	r.last = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
