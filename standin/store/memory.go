package store

import (
	"bytes"
	"context"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/time/rate"

	"knapweedshore.example/internal/store"
)

// Memory is a store.Store that accesses a Platform without sockets, so that it
// can be used inside a synctest bubble.
type Memory struct{ p *Platform }

var _ store.Store = (*Memory)(nil)

// Memory returns a store.Store that accesses the platform in process.
func (p *Platform) Memory() *Memory { return &Memory{p: p} }

// Get implements store.Store.
func (m *Memory) Get(ctx context.Context, key string) (store.Value, error) {
	if err := m.p.admitRead(ctx, &m.p.counts.Reads); err != nil {
		return store.Value{}, err
	}
	m.p.mu.Lock()
	v, ok := m.p.values[key]
	m.p.mu.Unlock()
	if !ok {
		return store.Value{}, errors.Wrapf(store.ErrNotFound, "get %q", key)
	}
	return copyValue(v), nil
}

// Swap implements store.Store.
func (m *Memory) Swap(ctx context.Context, key string, data []byte, revision uint64) (uint64, error) {
	if err := m.p.admit(m.p.writes, &m.p.counts.Writes); err != nil {
		return 0, err
	}
	if len(data) > store.MaxValueSize {
		return 0, errors.Errorf("swap %q: value has %d bytes, want at most %d", key, len(data), store.MaxValueSize)
	}
	written, lost, err := m.p.swap(key, data, revision)
	if err := m.p.waitDelay(ctx); err != nil {
		return 0, errors.Wrapf(&store.CallError{Kind: store.ErrUnknownOutcome, Cause: err}, "swap %q", key)
	}
	if lost {
		return 0, errors.Wrapf(store.ErrUnknownOutcome, "swap %q", key)
	}
	return written, err
}

// swap makes a write that was admitted. lost reports that its request or its
// answer is lost.
func (p *Platform) swap(key string, data []byte, revision uint64) (written uint64, lost bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if consume(&p.faults.loseRequests) {
		return 0, true, nil
	}
	if current := p.values[key].Revision; current != revision {
		return 0, false, errors.Wrapf(store.ErrConflict, "swap %q: revision is %d, not %d", key, current, revision)
	}
	return p.put(key, bytes.Clone(data)), consume(&p.faults.loseAnswers), nil
}

// Watch implements store.Store.
func (m *Memory) Watch(ctx context.Context, key string, after uint64) (store.Value, error) {
	return m.watch(ctx, key, after, m.p.options.WatchWait)
}

func (m *Memory) watch(ctx context.Context, key string, after uint64, wait time.Duration) (store.Value, error) {
	if err := m.p.admitRead(ctx, &m.p.counts.Reads); err != nil {
		return store.Value{}, err
	}
	timeout := time.NewTimer(min(wait, m.p.options.WatchWait))
	defer timeout.Stop()
	for {
		m.p.mu.Lock()
		v, changed, down := m.p.values[key], m.p.changed, m.p.faults.down
		m.p.mu.Unlock()
		if down {
			return store.Value{}, errors.Wrapf(store.ErrUnavailable, "watch %q", key)
		}
		if v.Revision > after {
			return copyValue(v), nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return store.Value{}, errors.Wrapf(store.ErrNotModified, "watch %q", key)
		case <-ctx.Done():
			return store.Value{}, errors.Wrapf(&store.CallError{Kind: store.ErrUnavailable, Cause: ctx.Err()}, "watch %q", key)
		}
	}
}

// VMs implements store.Store.
func (m *Memory) VMs(ctx context.Context) ([]store.VM, error) {
	if err := m.p.admitRead(ctx, &m.p.counts.Lists); err != nil {
		return nil, err
	}
	return m.p.visibleVMs(time.Now()), nil
}

// admitRead admits a read, adds it to count and delays its answer.
func (p *Platform) admitRead(ctx context.Context, count *int) error {
	if err := p.admit(p.reads, count); err != nil {
		return err
	}
	if err := p.waitDelay(ctx); err != nil {
		return &store.CallError{Kind: store.ErrUnavailable, Cause: err}
	}
	return nil
}

// admit returns an error if the store is down or the call exceeds the rate limit.
// It counts every call while the store is not down.
func (p *Platform) admit(limit *rate.Limiter, count *int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.down {
		return store.ErrUnavailable
	}
	*count++
	if !limit.Allow() || p.faults.throttled {
		p.counts.Throttled++
		return store.ErrThrottled
	}
	return nil
}

// waitDelay waits for the delay of answers set by SetDelay, or until ctx ends.
func (p *Platform) waitDelay(ctx context.Context) error {
	p.mu.Lock()
	d := p.faults.delay
	p.mu.Unlock()
	if d == 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func copyValue(v store.Value) store.Value {
	return store.Value{Data: bytes.Clone(v.Data), Revision: v.Revision}
}
