package scenario

import (
	"context"
	"sync"
	"time"

	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
)

// uplink is a zone's path to the platform. A call that is in flight when the path
// is cut gets no answer, even after the cut is healed.
type uplink struct {
	mu       sync.Mutex
	down     bool
	cutCount int // cuts so far, to detect a cut during a call
}

func (u *uplink) setDown(down bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.down = down
	if down {
		u.cutCount++
	}
}

func (u *uplink) state() (cuts int, down bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.cutCount, u.down
}

// vmStore is the platform store as seen by one VM, through the uplink of its zone.
type vmStore struct {
	store  store.Store
	uplink *uplink
	gate   *gate
}

var _ store.Store = vmStore{}

// callStore makes one call. If the zone is cut off before or during the call, it
// blocks until ctx ends and returns store.ErrUnavailable.
func callStore[T any](ctx context.Context, s vmStore, call func() (T, error)) (T, error) {
	s.gate.wait()
	cuts, down := s.uplink.state()
	if !down {
		v, err := call()
		time.Sleep(zoneLatency)
		s.gate.wait()
		if now, _ := s.uplink.state(); now == cuts {
			return v, err
		}
	}
	<-ctx.Done()
	s.gate.wait()
	var zero T
	return zero, &store.CallError{Kind: store.ErrUnavailable, Cause: ctx.Err()}
}

func (s vmStore) Get(ctx context.Context, key string) (store.Value, error) {
	return callStore(ctx, s, func() (store.Value, error) { return s.store.Get(ctx, key) })
}

func (s vmStore) Swap(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	return callStore(ctx, s, func() (uint64, error) { return s.store.Swap(ctx, key, data, revision) })
}

func (s vmStore) Watch(ctx context.Context, key string, after uint64) (store.Value, error) {
	return callStore(ctx, s, func() (store.Value, error) { return s.store.Watch(ctx, key, after) })
}

func (s vmStore) VMs(ctx context.Context) ([]store.VM, error) {
	return callStore(ctx, s, func() ([]store.VM, error) { return s.store.VMs(ctx) })
}

// operatorStore is the platform store as seen by operators.
type operatorStore struct {
	store.Store
	// beforeHeadSwap, unless nil, runs once before the next swap of the head.
	beforeHeadSwap func()
	// headSwappedAt is the start of the last swap of the head that succeeded or
	// whose outcome is unknown.
	headSwappedAt time.Time
}

func (s *operatorStore) Swap(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	head := key == tables.HeadKey
	if before := s.beforeHeadSwap; head && before != nil {
		s.beforeHeadSwap = nil
		before()
	}
	at := time.Now()
	got, err := s.Store.Swap(ctx, key, data, revision)
	if head && (err == nil || isUnknownOutcome(err)) {
		s.headSwappedAt = at
	}
	time.Sleep(zoneLatency)
	return got, err
}
