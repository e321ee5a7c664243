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

// Limits of a daemon's calls.
const (
	// CallTimeout is the timeout of one attempt.
	CallTimeout = 2 * time.Second
	// CallsPerSecond is the default call rate limit of a daemon. It keeps the whole
	// fleet within the service's rate limits after an outage.
	CallsPerSecond = 2

	// Pauses between attempts are uniformly random between 0 and an interval that
	// doubles from initialPause to maxPause.
	initialPause = 200 * time.Millisecond
	maxPause     = 30 * time.Second

	// Each call adds 0.1 tokens to the retry budget and each second adds 1, up to
	// maxRetryTokens. A retry takes one token.
	retriesPerCall   = 0.1
	retriesPerSecond = 1
	maxRetryTokens   = 10
)

// BudgetOptions configures a Budget. Zero fields get their defaults.
type BudgetOptions struct {
	// Metrics counts calls, retries by reason and refusals.
	Metrics *metrics.Registry
	// CallsPerSecond is the call rate limit. The default is CallsPerSecond of this
	// package.
	CallsPerSecond int
}

// Budget is a Store that limits the calls to another Store. Each attempt has a
// timeout and counts against a call rate limit, and retries need a token of a retry
// budget.
//
// Get and VMs are retried until ctx ends or the retry budget is used up. Swap
// is retried only if the write has certainly not taken effect. Watch makes one
// attempt, because its callers call it again anyway and choose the pause.
type Budget struct {
	next    Store
	metrics *metrics.Registry
	calls   *rate.Limiter
	retries retryBudget

	mu               sync.Mutex
	lastWatchFailure metrics.Reason // of the previous watch, empty if it succeeded
}

var _ Store = (*Budget)(nil)

// NewBudget returns a Store that limits the calls to next.
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
		retries: retryBudget{tokens: maxRetryTokens},
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
	b.lastWatchFailure, _ = retryReason(err)
	return v, err
}

// countWatchRetry counts a watch as a retry if the previous one has failed.
func (b *Budget) countWatchRetry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lastWatchFailure != "" {
		b.metrics.Retried(b.lastWatchFailure)
	}
	b.lastWatchFailure = ""
}

// retry makes attempts until one succeeds or fails with an error that must not be
// retried, ctx ends, or the retry budget is used up. It returns the error of the
// last attempt.
func retry[T any](ctx context.Context, b *Budget, call func(context.Context) (T, error)) (T, error) {
	b.retries.add(retriesPerCall)
	var lastErr error
	v, err := backoff.Retry(ctx, func() (T, error) {
		v, err := attempt(ctx, b, CallTimeout, call)
		lastErr = err
		if err == nil {
			return v, nil
		}
		if _, retryable := retryReason(err); !retryable || ctx.Err() != nil {
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
	if err != nil && ctx.Err() != nil && lastErr != nil {
		err = lastErr // more useful than the error of ctx, which ended during a pause
	}
	return v, err
}

// fullJitter returns a backoff with pauses between 0 and an interval that doubles.
// The library randomises around the middle of the range, hence the halved bounds and
// the factor 1.
func fullJitter() *backoff.ExponentialBackOff {
	return &backoff.ExponentialBackOff{
		InitialInterval:     initialPause / 2,
		MaxInterval:         maxPause / 2,
		Multiplier:          2,
		RandomizationFactor: 1,
	}
}

// attempt waits for the call rate limit and makes one call with a timeout.
func attempt[T any](ctx context.Context, b *Budget, timeout time.Duration, call func(context.Context) (T, error)) (T, error) {
	if err := b.calls.Wait(ctx); err != nil {
		b.metrics.Refused(metrics.StoreBudget)
		var zero T
		return zero, &CallError{ErrUnavailable, errors.Wrap(err, "call rate limit")}
	}
	b.metrics.Count(metrics.StoreCalls, 1)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return call(ctx)
}

// retryReason returns the reason under which a retry after err is counted, and
// whether the call may be retried safely.
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

// retryBudget is a token bucket that limits retries to a share of the calls plus a
// rate.
type retryBudget struct {
	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
}

// add adds n tokens.
func (r *retryBudget) add(n float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(r.tokens+n, maxRetryTokens)
}

// take removes one token. It reports false if there is none.
func (r *retryBudget) take(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.lastRefill.IsZero() {
		r.tokens = min(r.tokens+now.Sub(r.lastRefill).Seconds()*retriesPerSecond, maxRetryTokens)
	}
	r.lastRefill = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
