package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/store"
	standin "knapweedshore.example/standin/store"
)

// withBudget runs a test with a fake clock, a stand-in platform and a Budget that
// limits the calls to it.
func withBudget(t *testing.T, o standin.Options, f func(*is.I, *standin.Platform, *store.Budget, *metrics.Registry)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p, m := standin.New(o), metrics.NewRegistry()
		f(is.New(t), p, store.NewBudget(p.Memory(), store.BudgetOptions{Metrics: m}), m)
	})
}

// Guards against a read that gives up although the store recovers, and against
// retries that are not counted.
func TestGetIsRetriedUntilTheStoreIsBack(t *testing.T) {
	withBudget(t, standin.Options{}, func(is *is.I, p *standin.Platform, b *store.Budget, m *metrics.Registry) {
		p.SetDown(true)
		time.AfterFunc(3*time.Second, func() { p.SetDown(false) })
		_, err := b.Get(context.Background(), "k")
		is.True(errors.Is(err, store.ErrNotFound))
		is.True(m.Retries().Value(metrics.StoreUnavailable) > 0)
		is.Equal(m.Retries().Sum(), m.Retries().Value(metrics.StoreUnavailable))
		is.Equal(m.Totals().Value(metrics.StoreCalls), m.Retries().Sum()+1)
	})
}

// Guards against a call that hangs because the store is slow.
func TestSlowStoreMeetsTheDeadline(t *testing.T) {
	withBudget(t, standin.Options{}, func(is *is.I, p *standin.Platform, b *store.Budget, m *metrics.Registry) {
		p.SetDelay(time.Minute)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		start := time.Now()
		_, err := b.Get(ctx, "k")
		is.True(errors.Is(err, store.ErrUnavailable))
		is.True(time.Since(start) <= 10*time.Second)
		is.True(m.Retries().Value(metrics.StoreTimeout) >= 2)
	})
}

// Guards against a write that is sent again although it may have taken effect.
func TestUnknownOutcomeIsNotRetried(t *testing.T) {
	withBudget(t, standin.Options{}, func(is *is.I, p *standin.Platform, b *store.Budget, m *metrics.Registry) {
		p.LoseAnswers(1)
		_, err := b.Swap(context.Background(), "k", []byte("a"), 0)
		is.True(errors.Is(err, store.ErrUnknownOutcome))
		p.SetDelay(time.Minute)
		_, err = b.Swap(context.Background(), "l", []byte("a"), 0)
		is.True(errors.Is(err, store.ErrUnknownOutcome))
		is.Equal(p.Counts().Writes, 2)
		is.Equal(m.Retries().Sum(), int64(0))
	})
}

// Guards against a daemon that exceeds its call rate limit when its callers call
// without a pause.
func TestCallBudget(t *testing.T) {
	withBudget(t, standin.Options{}, func(is *is.I, p *standin.Platform, b *store.Budget, _ *metrics.Registry) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		for ctx.Err() == nil {
			_, _ = b.Get(ctx, "k")
		}
		reads := p.Counts().Reads
		is.True(reads <= 10*store.CallsPerSecond+store.CallsPerSecond)
		is.True(reads >= 10*store.CallsPerSecond)
	})
}

// Guards against many callers that together retry more than the budget allows
// while the store is down.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p, m := standin.New(standin.Options{}), metrics.NewRegistry()
		b := store.NewBudget(p.Memory(), store.BudgetOptions{Metrics: m, CallsPerSecond: 1000})
		p.SetDown(true)
		const callers, seconds = 50, 20
		ctx, cancel := context.WithTimeout(t.Context(), seconds*time.Second)
		defer cancel()
		for range callers {
			go func() { _, _ = b.Get(ctx, "k") }()
		}
		time.Sleep(seconds * time.Second)
		synctest.Wait()
		is.True(m.Refusals().Value(metrics.StoreBudget) > 0)
		is.True(m.Retries().Sum() <= callers/10+seconds+10)
	})
}

// Guards against a watch that hangs on a dead connection and hides changes, and
// against a watch after a failed one that is not counted as a retry.
func TestSilentWatchEnds(t *testing.T) {
	withBudget(t, standin.Options{WatchWait: time.Hour}, func(is *is.I, p *standin.Platform, b *store.Budget, m *metrics.Registry) {
		start := time.Now()
		_, err := b.Watch(context.Background(), "k", 0)
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(time.Since(start), store.WatchWait+store.WatchSlack)
		p.SetDown(true)
		_, err = b.Watch(context.Background(), "k", 0)
		is.True(errors.Is(err, store.ErrUnavailable))
		is.Equal(m.Retries().Value(metrics.StoreTimeout), int64(1))
	})
}
