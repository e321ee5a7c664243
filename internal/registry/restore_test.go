package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/directory"
)

// storeDelay is the time that the store takes to answer in these tests.
const storeDelay = 4 * time.Millisecond

// Guards against changes that are never in force because a restored store assigns revisions again.
func TestChangesAfterARestoreAreInForce(t *testing.T) {
	for name, rewritten := range map[string]int{"fewer revisions than before": 0, "as many": 1, "more": 5} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newFakeStore()
				s.delay = storeDelay
				s.put("config", "1")
				s.put("s1", "")
				f, stop := startFollower(t, s, fixedRole(true))
				defer stop()
				time.Sleep(time.Second)
				s.put("config", "2")
				s.put("config", "3")
				time.Sleep(time.Second)
				is.Equal(version(f), uint64(3))

				s.update(func(s *fakeStore) { s.err = ErrUnavailable })
				time.Sleep(2 * time.Second)
				s.restore(2)
				s.put("s2", "")
				for range rewritten {
					s.put("config", "3")
				}
				s.update(func(s *fakeStore) { s.err = nil })
				time.Sleep(recoveryTime)
				is.Equal(version(f), uint64(3))
				is.Equal(len(f.Current().Candidates("p")), 2)
				s.put("config", "4")
				time.Sleep(maxChangeDelay)
				is.Equal(version(f), uint64(4))
			})
		})
	}
}

// Guards against a daemon that lists a restored store again and again without a pause.
func TestRestoredStoreIsListedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.delay = storeDelay
		s.put("config", "1")
		s.put("config", "2")
		_, stop := startFollower(t, s, fixedRole(true))
		defer stop()
		time.Sleep(time.Second)
		s.restore(1)
		time.Sleep(100 * time.Millisecond)
		s.calls()
		time.Sleep(time.Minute)
		is.True(s.calls() <= int(time.Minute/WatchTimesFor(recoveryTime, maxChangeDelay).Wait)+1)
	})
}

// Guards against a flood of listings of a store that does not keep its history until the next watch.
func TestFollowerListsAStoreWithoutHistoryRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.delay = storeDelay
		s.put("config", "1")
		f, stop := startFollower(t, s, fixedRole(true))
		defer stop()
		time.Sleep(time.Second)
		s.update(func(s *fakeStore) { s.compacted = 1 << 40 })
		s.put("config", "2")
		time.Sleep(2 * time.Second)
		is.Equal(version(f), uint64(2))
		time.Sleep(10 * time.Second)
		s.calls()
		time.Sleep(20 * time.Second)
		is.True(s.calls() <= 2*50) // a listing and a watch, with a pause of at least 0.4 s
	})
}

// Guards against a listing for a history that a peer has replaced while the watch was pending.
func TestHistoryThatAPeerReplacedIsNotListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newFakeStore()
		s.delay = storeDelay
		s.put("config", "1")
		s.put("config", "2")
		f, stop := startFollower(t, s, fixedRole(true))
		defer stop()
		time.Sleep(time.Second)
		s.update(func(s *fakeStore) { s.onLoss = func() { f.Merge(s.reading(), "peer") } })
		s.restore(1)
		time.Sleep(recoveryTime)
		is.Equal(f.Position(), directory.Position{Era: 1, Revision: 1})
		is.True(f.Watching())
		is.Equal(s.listings, 1) // at the start
	})
}
