package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
)

// fakeStore is a Source that can fail, for tests with a fake clock.
type fakeStore struct {
	mu        sync.Mutex
	history   history
	changed   chan struct{}
	callCount int
	listings  int
	// err, if set, is returned by all calls. If silent is set, calls and pending
	// watches hang until their context ends.
	err    error
	silent bool
	// delay is how long each call waits before the store handles it.
	delay time.Duration
	// compacted is the revision up to which the history is lost.
	compacted uint64
	// onLoss, if set, is called before a watch fails for lack of history.
	onLoss func()
	// era counts the restores.
	era          uint64
	leaseExpired bool
	lastLease    uint64
}

func newFakeStore() *fakeStore {
	return &fakeStore{changed: make(chan struct{})}
}

func (s *fakeStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.add(Item{Key: key, Value: []byte(value)})
	s.wake()
}

func (s *fakeStore) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.add(Item{Key: key, Deleted: true})
	s.wake()
}

// restore brings back the state at a revision, as from a backup.
func (s *fakeStore) restore(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.history.events = s.history.events[:revision:revision]
	s.wake()
}

// wake wakes pending watches. The caller holds s.mu.
func (s *fakeStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// calls returns the number of calls since the last call of calls.
func (s *fakeStore) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.callCount
	s.callCount = 0
	return n
}

// update runs change with the lock held.
func (s *fakeStore) update(change func(s *fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// startCall counts a call and returns its error, if it is to fail.
func (s *fakeStore) startCall(ctx context.Context) error {
	s.mu.Lock()
	s.callCount++
	err, silent, delay := s.err, s.silent, s.delay
	s.mu.Unlock()
	select {
	case <-time.After(delay):
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
	if silent {
		<-ctx.Done()
		return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
	return err
}

func (s *fakeStore) List(ctx context.Context) (Reading, error) {
	if err := s.startCall(ctx); err != nil {
		return Reading{}, err
	}
	s.update(func(s *fakeStore) { s.listings++ })
	return s.reading(), nil
}

// reading returns all items.
func (s *fakeStore) reading() Reading {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := uint64(len(s.history.events))
	r := Reading{Position: directory.Position{Era: s.era, Revision: newest}, Complete: true}
	for key, rev := range s.history.at(newest) {
		i := s.history.events[rev-1]
		r.Items = append(r.Items, Item{Key: key, Value: i.Value, Revision: rev, Lease: i.Lease, ReadAt: time.Now()})
	}
	return r
}

func (s *fakeStore) Watch(ctx context.Context, after uint64, hold time.Duration) (Reading, error) {
	if err := s.startCall(ctx); err != nil {
		return Reading{}, err
	}
	timeout := time.After(hold)
	for {
		s.mu.Lock()
		newest, changed, compacted, era := uint64(len(s.history.events)), s.changed, s.compacted, s.era
		events := append([]Item(nil), s.history.events[min(after, newest):]...)
		silent := s.silent
		s.mu.Unlock()
		switch {
		case silent:
			<-ctx.Done()
			return Reading{}, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		case after < compacted, after > newest:
			if s.onLoss != nil {
				s.onLoss()
			}
			return Reading{}, ErrHistoryLost
		case len(events) > 0:
			for i := range events {
				events[i].ReadAt = time.Now()
			}
			return Reading{Position: directory.Position{Era: era, Revision: newest}, Items: events}, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return Reading{Position: directory.Position{Era: era, Revision: newest}}, nil
		case <-ctx.Done():
			return Reading{}, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		}
	}
}

func (s *fakeStore) CreateLease(ctx context.Context, _ time.Duration) (uint64, error) {
	err := s.startCall(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	return s.lastLease, err
}

func (s *fakeStore) RenewLease(ctx context.Context, _ uint64) error {
	if err := s.startCall(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaseExpired {
		return ErrLeaseExpired
	}
	return nil
}

func (s *fakeStore) Put(ctx context.Context, key string, value []byte, lease uint64) error {
	if err := s.startCall(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history.add(Item{Key: key, Value: value, Lease: lease})
	s.wake()
	return nil
}

func (s *fakeStore) Close() {}

// fakeDecoder decodes the key "config", whose value is the version, and the keys
// s1, s2 and so on, which are servers. Their values may hold the number of writes and the
// word "draining".
type fakeDecoder struct{}

func (fakeDecoder) Decode(i Item) (directory.Change, bool) {
	c := directory.Change{Revision: i.Revision}
	switch {
	case i.Key == "config" && i.Deleted:
		c.Problem = errors.New("configuration was deleted")
	case i.Key == "config":
		var version uint64
		if _, err := fmt.Sscan(string(i.Value), &version); err != nil {
			c.Problem = err
			return c, true
		}
		c.Config = &directory.Config{Version: version}
	case strings.HasPrefix(i.Key, "zone ") && i.Deleted:
		c.Returned = i.Key
	case strings.HasPrefix(i.Key, "zone "):
		c.Evacuated = i.Key
	case !strings.HasPrefix(i.Key, "s"):
		return c, false
	case i.Deleted:
		c.Deleted = i.Key
	default:
		var number uint64
		if _, err := fmt.Sscanf(i.Key, "s%d", &number); err != nil {
			c.Invalid, c.Problem = i.Key, err
			return c, true
		}
		c.Server = &directory.Server{Name: i.Key, Number: number, Cookie: directory.CookieOf(number), Pool: "p", CreateRevision: i.Revision}
		_, _ = fmt.Sscan(string(i.Value), &c.Server.Writes) // not every value has a number
		c.Server.Draining = strings.Contains(string(i.Value), "draining")
	}
	return c, true
}

// fixedRole is a WatcherRole that never changes.
type fixedRole bool

func (r fixedRole) ShouldWatch(time.Time) bool { return bool(r) }

func (fixedRole) FailingPeers(time.Time) int { return 0 }

// recoveryTime is the recovery time after failures in the tests.
const recoveryTime = 4 * time.Second

// maxChangeDelay is the time within which changes must be in force in the tests.
const maxChangeDelay = 3 * time.Second

// newFollower returns a Follower that does not run.
func newFollower(s Source) *Follower {
	return NewFollower(Options{
		Source: s, Decoder: fakeDecoder{}, Log: events.Discard(), Metrics: metrics.NewRegistry(), Watch: WatchTimesFor(recoveryTime, maxChangeDelay),
	})
}

// startFollower starts a Follower and returns a function that stops it.
func startFollower(t *testing.T, s Source, role WatcherRole) (f *Follower, stop func()) {
	t.Helper()
	f = newFollower(s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx, role) }()
	return f, func() { cancel(); <-done; synctest.Wait() }
}

// version returns the version of the current configuration, 0 if there is none.
func version(f *Follower) uint64 {
	if d := f.Current(); d != nil {
		return d.Config.Version
	}
	return 0
}

// Guards against a change that is in force too late although nothing fails, and
// against more calls to the store than the watch times allow.
func TestFollowerAppliesChangesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("config", "1")
		f, stop := startFollower(t, s, fixedRole(true))
		defer stop()
		time.Sleep(10 * time.Millisecond)
		is.Equal(version(f), uint64(1))
		s.put("config", "2")
		s.put("s7", "")
		time.Sleep(CoalesceDelay + 10*time.Millisecond)
		is.Equal(version(f), uint64(2))
		is.Equal(len(f.Current().Candidates("p")), 1)

		s.calls()
		time.Sleep(time.Minute)
		is.True(s.calls() <= int(time.Minute/WatchTimesFor(recoveryTime, maxChangeDelay).Wait)+1)
	})
}

// Guards against a watcher that the other daemons cannot know of until its first watch has
// ended, which takes seconds while nothing changes. After a restart of all, each of them
// would watch too.
func TestFollowerSoonKnowsThatItsWatchWorks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("config", "1")
		f, stop := startFollower(t, s, fixedRole(true))
		defer stop()
		time.Sleep(2 * firstWatchWait)
		is.True(f.Watching())
		is.Equal(s.calls(), 3) // the listing, the first watch, and the one that is pending
		time.Sleep(time.Second)
		is.Equal(s.calls(), 0)
	})
}

// Guards against a daemon that begins to watch a slow store and gives up each call before
// the answer comes, so that it learns of no change.
func TestFollowerBeginsToWatchASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("config", "1")
		s.delay = time.Second
		f, stop := startFollower(t, s, fixedRole(true))
		defer stop()
		time.Sleep(s.delay + 10*time.Millisecond)
		is.Equal(version(f), uint64(1))
		s.put("config", "2")
		time.Sleep(maxChangeDelay)
		is.Equal(version(f), uint64(2))
	})
}

// Guards against a directory that is still outdated when the recovery time after a
// failure has passed. In the failure, the store does not answer, is down or refuses
// calls, and it drops the history meanwhile.
func TestFollowerIsCurrentAfterAFailure(t *testing.T) {
	for name, fail := range map[string]func(s *fakeStore){
		"silent connections": func(s *fakeStore) { s.silent = true },
		"store down":         func(s *fakeStore) { s.err = ErrUnavailable },
		"calls refused":      func(s *fakeStore) { s.err = ErrThrottled },
	} {
		t.Run(name, func(t *testing.T) {
			for _, length := range []time.Duration{time.Second, 5 * time.Second, 12 * time.Second, time.Minute} {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					s := newFakeStore()
					s.put("config", "1")
					f, stop := startFollower(t, s, fixedRole(true))
					defer stop()
					time.Sleep(3 * time.Second)
					s.update(fail)
					time.Sleep(length / 2)
					s.put("config", "2")
					s.update(func(s *fakeStore) { s.compacted = uint64(len(s.history.events)) })
					time.Sleep(length / 2)
					is.Equal(version(f), uint64(1)) // the old directory stays in use
					s.update(func(s *fakeStore) { s.silent, s.err = false, nil })
					time.Sleep(recoveryTime)
					is.Equal(version(f), uint64(2))
				})
			}
		})
	}
}

// Guards against a change that is in force too late because the connection of the
// pending watch is dead while new connections work. A server then got new flows
// 3,005 ms after it was drained, over the limit of 3 s.
func TestFollowerReplacesASilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("config", "1")
		f, stop := startFollower(t, s, fixedRole(true))
		defer stop()
		time.Sleep(3 * time.Second)
		s.update(func(s *fakeStore) { s.silent = true })
		s.put("config", "2")
		synctest.Wait() // until the pending watch hangs
		s.update(func(s *fakeStore) { s.silent = false })
		time.Sleep(2500 * time.Millisecond) // leaves 0.5 s of maxChangeDelay for passing it on to peers
		is.Equal(version(f), uint64(2))
	})
}

// Guards against a store that is flooded with calls while it fails.
func TestFollowerCallsAFailingStoreRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("config", "1")
		s.update(func(s *fakeStore) { s.err = ErrUnavailable })
		_, stop := startFollower(t, s, fixedRole(true))
		defer stop()
		time.Sleep(10 * time.Second)
		s.calls()
		time.Sleep(20 * time.Second)
		is.True(s.calls() <= 50) // a pause of at least 0.4 s between calls
	})
}

// Guards against a daemon that calls the store although it is no watcher, and
// against one that ignores items and confirmations of its peers.
func TestFollowerThatDoesNotWatchUsesItsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("config", "1")
		f, stop := startFollower(t, s, fixedRole(false))
		defer stop()
		time.Sleep(time.Second)
		is.Equal(s.calls(), 1) // the first listing
		f.Merge(Reading{Position: directory.Position{Revision: 5}, Items: []Item{{Key: "config", Value: []byte("4"), Revision: 5}}}, "peer")
		is.Equal(version(f), uint64(4))
		f.Confirm(directory.Position{Revision: 5}, Confirmation{Source: 1, Number: 1}, 0, time.Now())
		is.Equal(f.Age(time.Now()), time.Duration(0))
		f.Confirm(directory.Position{Revision: 6}, Confirmation{Source: 1, Number: 2}, -time.Hour, time.Now()) // ignored: the daemon is behind this revision
		f.Confirm(directory.Position{Era: 1, Revision: 4}, Confirmation{Source: 1, Number: 3}, -time.Hour, time.Now())
		time.Sleep(time.Minute)
		is.Equal(f.Age(time.Now()), time.Minute)
		is.Equal(s.calls(), 0)
	})
}

// Guards against servers that are taken out of use because their registrations
// expired during a store outage. They register again within 2 s after it.
func TestFollowerKeepsServersThatExpired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("config", "1")
		s.put("s1", "")
		s.put("s2", "")
		f, stop := startFollower(t, s, fixedRole(true))
		defer stop()
		time.Sleep(time.Second)
		s.update(func(s *fakeStore) { s.err = ErrUnavailable })
		time.Sleep(5 * time.Second)
		s.delete("s1")
		s.delete("s2")
		is.Equal(len(f.Current().Candidates("p")), 2)
		s.update(func(s *fakeStore) { s.err = nil })
		time.Sleep(1900 * time.Millisecond)
		is.Equal(len(f.Current().Candidates("p")), 2)
		s.put("s1", "")
		time.Sleep(3 * time.Second)
		is.Equal(len(f.Current().Candidates("p")), 1)
	})
}

// newRegistration returns the registration of the VM vm1 in zone a.
func newRegistration(s Source, f *Follower, addr netip.Addr) *Registration {
	return &Registration{
		VM: directory.VM{Name: "vm1", Zone: "a", Addr: addr}, Source: s, Follower: f,
		Log: events.Discard(), Metrics: metrics.NewRegistry(),
	}
}

// Guards against a daemon that its peers cannot find because the store dropped its
// registration or its lease expired, and that does not register again.
func TestRegistrationComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("config", "1")
		f, stop := startFollower(t, s, fixedRole(true))
		defer stop()
		addr := netip.MustParseAddr("10.0.0.1")
		ctx, cancel := context.WithCancel(context.Background())
		go newRegistration(s, f, addr).Run(ctx)
		time.Sleep(time.Second)
		is.Equal(f.Current().VMs()[addr].Name, "vm1")

		s.delete(vmKey(addr))
		time.Sleep(2*presenceCheckInterval + time.Second)
		is.True(f.Current().VMs()[addr] != nil)

		s.update(func(s *fakeStore) { s.leaseExpired = true })
		s.delete(vmKey(addr))
		time.Sleep(2*renewInterval + time.Second)
		is.True(f.Current().VMs()[addr] != nil)
		cancel()
		synctest.Wait()
	})
}

// Guards against a fleet in which no daemon knows another one until there is a
// configuration, so that each has to get the first one from the store.
func TestDaemonRegistersBeforeTheFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("s1", "") // no configuration
		f, stop := startFollower(t, s, fixedRole(false))
		defer stop()
		addr := netip.MustParseAddr("10.0.0.1")
		ctx, cancel := context.WithCancel(context.Background())
		go newRegistration(s, f, addr).Run(ctx)
		time.Sleep(2 * directoryPollInterval)
		stored, err := s.List(ctx)
		is.NoErr(err)
		is.True(slices.ContainsFunc(stored.Items, func(i Item) bool { return i.Key == vmKey(addr) }))
		cancel()
		synctest.Wait()
	})
}

// Guards against malformed registrations that are taken for a VM or go unreported,
// and against other items that are taken for registrations.
func TestDecodeVM(t *testing.T) {
	is := is.New(t)
	value, err := json.Marshal(vmRecord{Name: "vm1", Zone: "a"})
	is.NoErr(err)
	c, ok := decodeVM(Item{Key: vmPrefix + "10.0.0.1", Value: value})
	is.True(ok)
	is.Equal(*c.VM, directory.VM{Name: "vm1", Zone: "a", Addr: netip.MustParseAddr("10.0.0.1")})
	for _, i := range []Item{{Key: vmPrefix + "host", Value: value}, {Key: vmPrefix + "10.0.0.1", Value: []byte("{")}} {
		c, ok := decodeVM(i)
		is.True(ok && c.VM == nil && c.Problem != nil)
	}
	_, ok = decodeVM(Item{Key: "servers/i-1"})
	is.True(!ok)
}

// Guards against errors that are counted under the wrong reason.
func TestReasonOf(t *testing.T) {
	is := is.New(t)
	is.Equal(reasonOf(errors.Wrap(ErrThrottled, "x")), metrics.StoreThrottled)
	is.Equal(reasonOf(fmt.Errorf("%w: %w", ErrUnavailable, context.DeadlineExceeded)), metrics.StoreTimeout)
	is.Equal(reasonOf(errors.Wrap(ErrHistoryLost, "x")), metrics.HistoryLost)
	is.Equal(reasonOf(errors.New("x")), metrics.StoreUnavailable)
}

// Guards against a daemon that starts after registrations have expired during a
// store outage, and does not know the servers that its peers still use. It would
// find no server for new flows and drop packets of open ones.
func TestStartAfterExpiryTakesServersFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("config", "1")
		s.put("s1", "up")
		s.put("s2", "up")
		old, stop := startFollower(t, s, fixedRole(true))
		defer stop()
		time.Sleep(time.Second)
		s.delete("s1")
		time.Sleep(time.Second)
		s.delete("s2")
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(old.Current().Candidates("p")), 2)

		starting := newFollower(s)
		starting.Merge(old.ChangesSince(directory.Position{}), "peer")
		is.Equal(len(starting.Current().Candidates("p")), 2)
		is.True(starting.Current().ByCookie(directory.CookieOf(1)) != nil)
		// Both daemons retire them at the same time.
		is.Equal(starting.Current().ByCookie(directory.CookieOf(2)).MissingSince, old.Current().ByCookie(directory.CookieOf(2)).MissingSince)
	})
}
