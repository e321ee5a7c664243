package registry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
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

// fakeStore is a Source with faults, for bubbles with a fake clock.
type fakeStore struct {
	mu      sync.Mutex
	history history
	changed chan struct{}
	count   int
	// err fails all calls; silent watches and calls hang until their context ends.
	err       error
	silent    bool
	forgotten uint64
	puts      map[string][]byte
	leaseGone bool
}

func newFakeStore() *fakeStore {
	return &fakeStore{changed: make(chan struct{}), puts: map[string][]byte{}}
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

func (s *fakeStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// calls returns how many calls there were since it was asked last.
func (s *fakeStore) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.count
	s.count = 0
	return n
}

func (s *fakeStore) set(change func(s *fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// begin counts a call and returns what becomes of it.
func (s *fakeStore) begin(ctx context.Context) error {
	s.mu.Lock()
	s.count++
	err, silent := s.err, s.silent
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
	}
	return err
}

func (s *fakeStore) List(ctx context.Context) (Reading, error) {
	if err := s.begin(ctx); err != nil {
		return Reading{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := uint64(len(s.history.events))
	r := Reading{Revision: newest, Complete: true}
	for key, rev := range s.history.at(newest) {
		i := s.history.events[rev-1]
		r.Items = append(r.Items, Item{Key: key, Value: i.Value, Revision: rev})
	}
	return r, nil
}

func (s *fakeStore) Watch(ctx context.Context, after uint64, hold time.Duration) (Reading, error) {
	if err := s.begin(ctx); err != nil {
		return Reading{}, err
	}
	timeout := time.After(hold)
	for {
		s.mu.Lock()
		newest, changed, forgotten := uint64(len(s.history.events)), s.changed, s.forgotten
		events := append([]Item(nil), s.history.events[min(after, newest):]...)
		silent := s.silent
		s.mu.Unlock()
		switch {
		case silent:
			<-ctx.Done()
			return Reading{}, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		case after < forgotten:
			return Reading{}, ErrHistoryLost
		case len(events) > 0:
			for i := range events {
				events[i].ReadAt = time.Now()
			}
			return Reading{Revision: newest, Items: events}, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return Reading{Revision: newest}, nil
		case <-ctx.Done():
			return Reading{}, fmt.Errorf("%w: %w", ErrUnavailable, ctx.Err())
		}
	}
}

func (s *fakeStore) CreateLease(ctx context.Context, _ time.Duration) (uint64, error) {
	return 1, s.begin(ctx)
}

func (s *fakeStore) RenewLease(ctx context.Context, _ uint64) error {
	if err := s.begin(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaseGone {
		return ErrLeaseExpired
	}
	return nil
}

func (s *fakeStore) Put(ctx context.Context, key string, value []byte, _ uint64) error {
	if err := s.begin(ctx); err != nil {
		return err
	}
	s.put(key, string(value))
	return nil
}

func (s *fakeStore) Close() {}

// fakeDecoder reads "config N" and "server".
type fakeDecoder struct{}

func (fakeDecoder) Decode(i Item) (directory.Change, bool) {
	c := directory.Change{Revision: i.Revision}
	switch {
	case i.Key == "config":
		var version uint64
		if _, err := fmt.Sscan(string(i.Value), &version); err != nil {
			c.Problem = err
			return c, true
		}
		c.Config = &directory.Config{Version: version}
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
	}
	return c, true
}

// always is the duty of a daemon without peers.
type always bool

func (a always) ShouldWatch(time.Time) bool { return bool(a) }

// recovery is the time of the follower under test, as on the users' platform.
const recovery = 4 * time.Second

// fresh is within which changes are acted upon there.
const fresh = 3 * time.Second

func startFollower(t *testing.T, s Source, duty WatcherRole) (f *Follower, stop func()) {
	t.Helper()
	f = NewFollower(Options{
		Source: s, Decoder: fakeDecoder{}, Log: events.Discard(), Metrics: metrics.NewRegistry(), Watch: WatchTimesFor(recovery, fresh),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx, duty) }()
	return f, func() { cancel(); <-done; synctest.Wait() }
}

func version(f *Follower) uint64 {
	if d := f.Current(); d != nil {
		return d.Config.Version
	}
	return 0
}

// Guards against a change that is in force too late while all is well, and
// against more calls than the watch times allow.
func TestFollowerAppliesChangesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("config", "1")
		f, stop := startFollower(t, s, always(true))
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
		is.True(s.calls() <= int(time.Minute/WatchTimesFor(recovery, fresh).Wait)+1)
	})
}

// Guards against a directory that stays old after a failure has ended: a watch
// that went silent, a history that was lost, a store that was away or refused
// calls. Whatever happened, the daemon is current within the recovery time.
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
					f, stop := startFollower(t, s, always(true))
					defer stop()
					time.Sleep(3 * time.Second)
					s.set(fail)
					time.Sleep(length / 2)
					s.put("config", "2")
					s.set(func(s *fakeStore) { s.forgotten = uint64(len(s.history.events)) })
					time.Sleep(length / 2)
					is.Equal(version(f), uint64(1)) // serves what it knows
					s.set(func(s *fakeStore) { s.silent, s.err = false, nil })
					time.Sleep(recovery)
					is.Equal(version(f), uint64(2))
				})
			}
		})
	}
}

// Guards against a change that is in force too late because just the pending
// watch went silent, while new connections work (a hunt on sullam-hq saw a
// server get flows 3,005 ms after its drain).
func TestFollowerReplacesASilentWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("config", "1")
		f, stop := startFollower(t, s, always(true))
		defer stop()
		time.Sleep(3 * time.Second)
		s.set(func(s *fakeStore) { s.silent = true })
		s.put("config", "2")
		synctest.Wait() // the pending watch hangs now
		s.set(func(s *fakeStore) { s.silent = false })
		time.Sleep(2500 * time.Millisecond) // of 3 s, with half a second to hand it on
		is.Equal(version(f), uint64(2))
	})
}

// Guards against a store that is flooded with calls while it fails.
func TestFollowerCallsAFailingStoreRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("config", "1")
		s.set(func(s *fakeStore) { s.err = ErrUnavailable })
		_, stop := startFollower(t, s, always(true))
		defer stop()
		time.Sleep(10 * time.Second)
		s.calls()
		time.Sleep(20 * time.Second)
		is.True(s.calls() <= 50) // a pause of at least 0.4 s between calls
	})
}

// Guards against a daemon without the duty that calls the store, and against
// items of peers that do not count.
func TestFollowerWithoutDutyLivesOnItsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("config", "1")
		f, stop := startFollower(t, s, always(false))
		defer stop()
		time.Sleep(time.Second)
		is.Equal(s.calls(), 1) // the first listing
		f.Merge(Reading{Revision: 5, Items: []Item{{Key: "config", Value: []byte("4"), Revision: 5}}}, "peer")
		is.Equal(version(f), uint64(4))
		f.Confirm(5, time.Now())
		is.Equal(f.Age(time.Now()), time.Duration(0))
		f.Confirm(6, time.Now().Add(time.Hour)) // a revision that it does not have
		time.Sleep(time.Minute)
		is.Equal(f.Age(time.Now()), time.Minute)
		is.Equal(s.calls(), 0)
	})
}

// Guards against a store outage that takes the servers away: their
// registrations lapse and are back within 2 s of its return.
func TestFollowerKeepsServersThatLapsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("config", "1")
		s.put("s1", "")
		s.put("s2", "")
		f, stop := startFollower(t, s, always(true))
		defer stop()
		time.Sleep(time.Second)
		s.set(func(s *fakeStore) { s.err = ErrUnavailable })
		time.Sleep(5 * time.Second)
		s.delete("s1")
		s.delete("s2")
		is.Equal(len(f.Current().Candidates("p")), 2)
		s.set(func(s *fakeStore) { s.err = nil })
		time.Sleep(1900 * time.Millisecond)
		is.Equal(len(f.Current().Candidates("p")), 2)
		s.put("s1", "")
		time.Sleep(3 * time.Second)
		is.Equal(len(f.Current().Candidates("p")), 1)
	})
}

// Guards against a daemon that its peers do not find: its registration was
// taken away, or its lease has ended.
func TestRegistrationComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("config", "1")
		f, stop := startFollower(t, s, always(true))
		defer stop()
		addr := netip.MustParseAddr("10.0.0.1")
		r := &Registration{
			VM: directory.VM{Name: "vm1", Zone: "a", Addr: addr}, Source: s, Follower: f,
			Log: events.Discard(), Metrics: metrics.NewRegistry(),
		}
		ctx, cancel := context.WithCancel(context.Background())
		go r.Run(ctx)
		time.Sleep(time.Second)
		is.Equal(f.Current().VMs()[addr].Name, "vm1")

		s.delete(vmKey(addr))
		time.Sleep(2*lostInterval + time.Second)
		is.True(f.Current().VMs()[addr] != nil)

		s.set(func(s *fakeStore) { s.leaseGone = true })
		s.delete(vmKey(addr))
		time.Sleep(2*renewInterval + time.Second)
		is.True(f.Current().VMs()[addr] != nil)
		cancel()
		synctest.Wait()
	})
}

// Guards against foreign registrations that name no VM.
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

// Guards against errors that metrics cannot tell apart.
func TestReasonOf(t *testing.T) {
	is := is.New(t)
	is.Equal(reasonOf(errors.Wrap(ErrThrottled, "x")), metrics.StoreThrottled)
	is.Equal(reasonOf(fmt.Errorf("%w: %w", ErrUnavailable, context.DeadlineExceeded)), metrics.StoreTimeout)
	is.Equal(reasonOf(errors.Wrap(ErrHistoryLost, "x")), metrics.HistoryLost)
	is.Equal(reasonOf(errors.New("x")), metrics.StoreUnavailable)
}

// Guards against a daemon that starts while registrations have lapsed with the
// store and knows none of the servers that its peers still use: new flows get no
// server, and packets of open ones are dropped.
func TestStartDuringALapseTakesServersFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.put("config", "1")
		s.put("s1", "up")
		s.put("s2", "up")
		old, stop := startFollower(t, s, always(true))
		defer stop()
		time.Sleep(time.Second)
		s.delete("s1")
		time.Sleep(time.Second)
		s.delete("s2")
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(old.Current().Candidates("p")), 2)

		fresh := NewFollower(Options{
			Source: s, Decoder: fakeDecoder{}, Log: events.Discard(), Metrics: metrics.NewRegistry(), Watch: WatchTimesFor(recovery, fresh),
		})
		fresh.Merge(old.ChangesSince(0), "peer")
		is.Equal(len(fresh.Current().Candidates("p")), 2)
		is.True(fresh.Current().ByCookie(directory.CookieOf(1)) != nil)
		// They are retired at the same time as at the peer.
		is.Equal(fresh.Current().ByCookie(directory.CookieOf(2)).MissingSince, old.Current().ByCookie(directory.CookieOf(2)).MissingSince)
	})
}
