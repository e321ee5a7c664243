package registry

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/directory"
)

// storeDelay is the time that the store takes to answer in these tests.
const storeDelay = 4 * time.Millisecond

// playWithStore runs a test with a fake clock and a store that takes storeDelay to answer.
func playWithStore(t *testing.T, play func(t *testing.T, is *is.I, s *fakeStore)) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.delay = storeDelay
		play(t, is.New(t), s)
	})
}

// Guards against changes that are never in force because a restored store assigns revisions again.
func TestChangesAfterARestoreAreInForce(t *testing.T) {
	for name, rewritten := range map[string]int{"fewer revisions than before": 0, "as many": 1, "more": 5} {
		t.Run(name, func(t *testing.T) {
			playWithStore(t, func(t *testing.T, is *is.I, s *fakeStore) {
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
	playWithStore(t, func(t *testing.T, is *is.I, s *fakeStore) {
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
	playWithStore(t, func(t *testing.T, is *is.I, s *fakeStore) {
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
	playWithStore(t, func(t *testing.T, is *is.I, s *fakeStore) {
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

// poolOf returns the names of the servers that take new flows.
func poolOf(f *Follower) string {
	names := ""
	for _, s := range f.Current().Candidates("p") {
		names += s.Name + " "
	}
	return names
}

// Guards against a configuration or a server that a restored store brings back, on daemons that knew
// better and on those that start afterwards.
func TestRestoredStoreBringsNothingOutdatedBack(t *testing.T) {
	playWithStore(t, func(t *testing.T, is *is.I, s *fakeStore) {
		s.put("config", "1")
		for _, key := range []string{"s1", "s2", "s3", "s4"} {
			s.put(key, "1")
		}
		f, stop := startFollower(t, s, fixedRole(true))
		defer stop()
		time.Sleep(time.Second)
		s.put("config", "2")
		s.put("s1", "2 draining")
		s.put("s2", "2 draining")
		time.Sleep(time.Second)
		s.delete("s2")
		s.put("s5", "1")
		time.Sleep(time.Second)
		is.Equal(poolOf(f), "s3 s4 s5 ")

		s.restore(5)
		time.Sleep(100 * time.Millisecond)
		is.Equal(f.Position(), directory.Position{Era: 1, Revision: 5})
		is.Equal(version(f), uint64(2))
		is.Equal(poolOf(f), "s3 s4 s5 ") // s5 has yet to register again

		starting := newFollower(s)
		starting.Merge(f.ChangesSince(directory.Position{}), "peer")
		is.Equal(version(starting), uint64(2))
		is.Equal(poolOf(starting), "s3 s4 s5 ")

		s.put("s1", "5 draining")
		s.delete("s2") // its registration expires again
		time.Sleep(directory.DefaultRetention.Missing + time.Second)
		is.Equal(poolOf(f), "s3 s4 ")
		s.put("s5", "6")
		s.put("s1", "1 restarted")
		time.Sleep(time.Second)
		is.Equal(poolOf(f), "s1 s3 s4 s5 ")
	})
}

// Guards against daemons without a configuration because the copy was taken before the first one.
func TestConfigurationSurvivesARestoreToBeforeIt(t *testing.T) {
	playWithStore(t, func(t *testing.T, is *is.I, s *fakeStore) {
		s.put("s1", "1")
		s.put("config", "1")
		f, stop := startFollower(t, s, fixedRole(true))
		defer stop()
		time.Sleep(time.Second)
		s.restore(1)
		time.Sleep(time.Second)
		starting := newFollower(s)
		for range 2 { // a complete reading, then one that a listing in the same era has changed
			starting.Merge(f.ChangesSince(starting.Position()), "peer")
			is.Equal(version(starting), uint64(1))
			is.Equal(version(f), uint64(1))
			s.put("s2", "1")
			s.update(func(s *fakeStore) { s.compacted = 2 })
			time.Sleep(time.Second)
		}
		s.put("config", "1")
		s.put("config", "2")
		time.Sleep(time.Second)
		is.Equal(version(f), uint64(2))
	})
}

// Guards against a daemon whose registration depends on the lease of an earlier process, which nobody
// renews after a restore, and against one that does not register again.
func TestRegistrationHasTheLeaseThatIsRenewed(t *testing.T) {
	for name, backup := range map[string]uint64{"registration lost": 1, "registration of an earlier process": 2} {
		t.Run(name, func(t *testing.T) {
			playWithStore(t, func(t *testing.T, is *is.I, s *fakeStore) {
				s.put("config", "1")
				addr := netip.MustParseAddr("10.0.0.1")
				is.NoErr(s.Put(t.Context(), vmKey(addr), []byte(`{"name":"old","zone":"a"}`), 99))
				f, stop := startFollower(t, s, fixedRole(true))
				defer stop()
				ctx, cancel := context.WithCancel(t.Context())
				go newRegistration(s, f, addr).Run(ctx)
				time.Sleep(time.Second)
				is.Equal(f.Current().VMs()[addr].Lease, uint64(1))

				s.restore(backup)
				time.Sleep(2 * presenceCheckInterval)
				is.Equal(f.Current().VMs()[addr].Name, "vm1")
				is.Equal(f.Current().VMs()[addr].Lease, uint64(2))
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a directory that counts as current because of a peer that has not noticed a restore,
// or whose build does not tell eras apart.
func TestPeersOfAnEarlierEraConfirmNothing(t *testing.T) {
	playWithStore(t, func(t *testing.T, is *is.I, s *fakeStore) {
		s.put("config", "1")
		s.restore(1)
		f, stop := startFollower(t, s, fixedRole(false))
		defer stop()
		time.Sleep(time.Minute)
		f.Confirm(directory.Position{Revision: 1}, Confirmation{Source: 1, Number: 1}, 0, time.Now())
		f.Confirm(directory.Position{Revision: 9}, Confirmation{Source: 1, Number: 2}, 0, time.Now())
		is.True(f.Age(time.Now()) > 59*time.Second)
		f.Merge(Reading{Position: directory.Position{Revision: 9}, Complete: true}, "peer")
		is.Equal(version(f), uint64(1))
		f.Confirm(directory.Position{Era: 1, Revision: 1}, Confirmation{Source: 1, Number: 3}, 0, time.Now())
		is.Equal(f.Age(time.Now()), time.Duration(0))
	})
}

// Guards against an evacuation that ends because a restored store lacks it, on daemons that knew it
// and on those that start afterwards, and against one that cannot be ended then.
func TestEvacuationThatARestoreLostStays(t *testing.T) {
	playWithStore(t, func(t *testing.T, is *is.I, s *fakeStore) {
		s.put("config", "1")
		s.put("zone a", "")
		f, stop := startFollower(t, s, fixedRole(true))
		defer stop()
		time.Sleep(time.Second)
		since := f.Current().Evacuations()[0].Since
		starting := newFollower(s)
		for range 2 { // after a second restore as well
			s.restore(1)
			time.Sleep(time.Second)
			for range 2 { // a complete reading, then one that a listing in the same era has changed
				starting.Merge(f.ChangesSince(starting.Position()), "peer")
				is.True(starting.Current().Evacuated("zone a"))
				is.True(f.Current().Evacuations()[0].Lost && starting.Current().Evacuations()[0].Lost)
				s.put("s2", "1")
				s.update(func(s *fakeStore) { s.compacted = 2 })
				time.Sleep(time.Second)
			}
			s.update(func(s *fakeStore) { s.compacted = 0 })
		}
		is.Equal(f.Current().Evacuations()[0].Since, since)
		s.put("zone a", "")
		time.Sleep(time.Second)
		is.True(!f.Current().Evacuations()[0].Lost)
		s.delete("zone a")
		time.Sleep(time.Second)
		is.True(!f.Current().Evacuated("zone a"))
		starting.Merge(f.ChangesSince(starting.Position()), "peer")
		is.True(!starting.Current().Evacuated("zone a"))
	})
}

// Guards against daemons that differ about an evacuation which a restored store brings back: those
// that start do not know that it had ended.
func TestEvacuationThatARestoreBringsBackIsInForce(t *testing.T) {
	playWithStore(t, func(t *testing.T, is *is.I, s *fakeStore) {
		s.put("config", "1")
		s.put("zone a", "")
		f, stop := startFollower(t, s, fixedRole(true))
		defer stop()
		time.Sleep(time.Second)
		s.delete("zone a")
		time.Sleep(time.Second)
		is.True(!f.Current().Evacuated("zone a"))
		s.restore(2)
		time.Sleep(time.Second)
		is.True(f.Current().Evacuated("zone a"))
		s.delete("zone a")
		time.Sleep(time.Second)
		is.True(!f.Current().Evacuated("zone a"))
	})
}

// Guards against an evacuation that stays in force because its removal is only seen as its absence
// from a listing, and against one written again meanwhile that ends.
func TestEvacuationsFollowAListing(t *testing.T) {
	playWithStore(t, func(t *testing.T, is *is.I, s *fakeStore) {
		s.put("config", "1")
		s.put("zone a", "")
		s.put("zone b", "")
		f, stop := startFollower(t, s, fixedRole(true))
		defer stop()
		time.Sleep(time.Second)
		s.update(func(s *fakeStore) { s.err = ErrUnavailable })
		s.delete("zone a")
		s.delete("zone b")
		s.put("zone b", "")
		s.put("zone c", "")
		s.update(func(s *fakeStore) { s.err, s.compacted = nil, 6 })
		time.Sleep(recoveryTime)
		is.Equal([]bool{f.Current().Evacuated("zone a"), f.Current().Evacuated("zone b"), f.Current().Evacuated("zone c")}, []bool{false, true, true})
	})
}
