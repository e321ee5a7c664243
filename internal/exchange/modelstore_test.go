package exchange

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/registry"
)

// sharedStore is the store of a model. All daemons read the same history.
type sharedStore struct {
	mu      sync.Mutex
	era     uint64
	items   []registry.Item // by revision, from 1
	changed chan struct{}
}

func (s *sharedStore) put(key, value string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := uint64(len(s.items) + 1)
	s.items = append(s.items, registry.Item{Key: key, Value: []byte(value), Revision: revision, Created: revision})
	close(s.changed)
	s.changed = make(chan struct{})
	return revision
}

// restore brings back the state before the last changes.
func (s *sharedStore) restore(lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.items = slices.Clone(s.items[:max(1, len(s.items)-lost)])
	close(s.changed)
	s.changed = make(chan struct{})
}

// since returns the changes after a revision, and a channel that is closed by the next
// change or restore.
func (s *sharedStore) since(after uint64) (registry.Reading, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after > uint64(len(s.items)) {
		return registry.Reading{}, nil, registry.ErrHistoryLost
	}
	return registry.Reading{
		Position: directory.Position{Era: s.era, Revision: uint64(len(s.items))}, Items: slices.Clone(s.items[after:]),
	}, s.changed, nil
}

// How the store treats the calls of one daemon.
const (
	served  = "served"
	refused = "refused"
	silent  = "silent"
)

// storeLink is one daemon's access to the store.
type storeLink struct {
	store *sharedStore

	mu    sync.Mutex
	state string
	calls int
	// broken is closed when the state changes. Watches that are pending then are never
	// answered.
	broken chan struct{}
}

func (l *storeLink) setState(state string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	close(l.broken)
	l.broken = make(chan struct{})
}

// current returns the state and the channel that is closed when it changes.
func (l *storeLink) current() (string, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state, l.broken
}

// startCall counts a call and returns the state and the channel that is closed when it changes.
func (l *storeLink) startCall() (string, chan struct{}) {
	l.mu.Lock()
	l.calls++
	l.mu.Unlock()
	return l.current()
}

func (l *storeLink) Watch(ctx context.Context, after uint64, hold time.Duration) (registry.Reading, error) {
	timeout := time.After(hold)
	state, broken := l.startCall()
	for state == served {
		reading, changed, err := l.store.since(after)
		if len(reading.Items) > 0 || err != nil {
			return reading, err
		}
		select {
		case <-changed:
		case <-timeout:
			return reading, nil
		case <-broken:
			state = silent
		case <-ctx.Done():
			return registry.Reading{}, registry.ErrUnavailable
		}
	}
	if state == silent {
		<-ctx.Done()
	}
	return registry.Reading{}, registry.ErrUnavailable
}

func (l *storeLink) List(ctx context.Context) (registry.Reading, error) {
	switch state, _ := l.startCall(); state {
	case silent:
		<-ctx.Done()
		return registry.Reading{}, registry.ErrUnavailable
	case refused:
		return registry.Reading{}, registry.ErrUnavailable
	}
	reading, _, err := l.store.since(0)
	reading.Complete = true
	return reading, err
}

func (l *storeLink) CreateLease(context.Context, time.Duration) (uint64, error) { return 1, nil }
func (l *storeLink) RenewLease(context.Context, uint64) error                   { return nil }
func (l *storeLink) Put(context.Context, string, []byte, uint64) error          { return nil }
func (l *storeLink) Close()                                                     {}

// versionDecoder decodes configurations, whose value is their version.
type versionDecoder struct{}

func (versionDecoder) Decode(i registry.Item) (directory.Change, bool) {
	c := directory.Change{Revision: i.Revision, Config: &directory.Config{}}
	_, err := fmt.Sscan(string(i.Value), &c.Config.Version)
	return c, err == nil
}
