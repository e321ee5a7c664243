package scenario

import (
	"context"
	"sync"
	"time"

	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
)

// uplink is a zone's path to the platform. Calls that are under way at a cut get
// no answer, even after it is healed.
type uplink struct {
	mu   sync.Mutex
	down bool
	cuts int
}

func (u *uplink) set(down bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.down = down
	if down {
		u.cuts++
	}
}

func (u *uplink) state() (cuts int, down bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.cuts, u.down
}

// vmStore is the platform store as one VM reaches it.
type vmStore struct {
	next   store.Store
	link   *uplink
	paused *gate
}

var _ store.Store = vmStore{}

// through makes one call, which gets no answer if the zone is cut off.
func through[T any](ctx context.Context, s vmStore, call func() (T, error)) (T, error) {
	s.paused.pass()
	cuts, down := s.link.state()
	if !down {
		v, err := call()
		time.Sleep(zoneLatency)
		s.paused.pass()
		if now, _ := s.link.state(); now == cuts {
			return v, err
		}
	}
	<-ctx.Done()
	s.paused.pass()
	var none T
	return none, &store.CallError{Kind: store.ErrUnavailable, Cause: ctx.Err()}
}

func (s vmStore) Get(ctx context.Context, key string) (store.Value, error) {
	return through(ctx, s, func() (store.Value, error) { return s.next.Get(ctx, key) })
}

func (s vmStore) Swap(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	return through(ctx, s, func() (uint64, error) { return s.next.Swap(ctx, key, data, revision) })
}

func (s vmStore) Watch(ctx context.Context, key string, after uint64) (store.Value, error) {
	return through(ctx, s, func() (store.Value, error) { return s.next.Watch(ctx, key, after) })
}

func (s vmStore) VMs(ctx context.Context) ([]store.VM, error) {
	return through(ctx, s, func() ([]store.VM, error) { return s.next.VMs(ctx) })
}

// operatorStore is the store as an operator reaches it.
type operatorStore struct {
	store.Store
	// before runs once before the next swap of the head.
	before func()
	// written is when the last swap of the head was made that took effect or
	// may have done so.
	written time.Time
}

func (s *operatorStore) Swap(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	head := key == tables.HeadKey
	if before := s.before; head && before != nil {
		s.before = nil
		before()
	}
	at := time.Now()
	got, err := s.Store.Swap(ctx, key, data, revision)
	if head && (err == nil || isUnknown(err)) {
		s.written = at
	}
	time.Sleep(zoneLatency)
	return got, err
}
