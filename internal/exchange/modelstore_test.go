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

func (s *sharedStore) put(key, value string) { s.add(registry.Item{Key: key, Value: []byte(value)}) }

func (s *sharedStore) delete(key string) { s.add(registry.Item{Key: key, Deleted: true}) }

func (s *sharedStore) add(i registry.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i.Revision = uint64(len(s.items) + 1)
	i.Created = i.Revision
	s.items = append(s.items, i)
	close(s.changed)
	s.changed = make(chan struct{})
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
	last := map[string]uint64{}
	for _, i := range reading.Items {
		last[i.Key] = i.Revision
	}
	reading.Items = slices.DeleteFunc(reading.Items, func(i registry.Item) bool { return i.Deleted || i.Revision != last[i.Key] })
	reading.Complete = true
	return reading, err
}

func (l *storeLink) CreateLease(context.Context, time.Duration) (uint64, error) { return 1, nil }
func (l *storeLink) RenewLease(context.Context, uint64) error                   { return nil }
func (l *storeLink) Put(context.Context, string, []byte, uint64) error          { return nil }
func (l *storeLink) Close()                                                     {}

// modelZone is the zone that the operator of a model evacuates, and the key of its entry.
const modelZone = "evacuated zone"

// modelDecoder decodes configurations, whose value is their version, and evacuations.
type modelDecoder struct{}

func (modelDecoder) Decode(i registry.Item) (directory.Change, bool) {
	switch {
	case i.Key == modelZone && i.Deleted:
		return directory.Change{Revision: i.Revision, Returned: modelZone}, true
	case i.Key == modelZone:
		return directory.Change{Revision: i.Revision, Evacuated: modelZone}, true
	}
	c := directory.Change{Revision: i.Revision, Config: &directory.Config{}}
	_, err := fmt.Sscan(string(i.Value), &c.Config.Version)
	return c, err == nil
}
