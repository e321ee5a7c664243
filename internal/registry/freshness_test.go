package registry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/pause"
)

// newIdleFollower returns a follower that does not run and knows revision 1.
func newIdleFollower(pauses *pause.Monitor) *Follower {
	f := NewFollower(Options{
		Source: newFakeStore(), Decoder: fakeDecoder{}, Log: events.Discard(), Metrics: metrics.NewRegistry(), Pauses: pauses,
		Watch: WatchTimesFor(4*time.Second, 3*time.Second),
	})
	f.Merge(Reading{Position: directory.Position{Revision: 1}, Complete: true, Items: []Item{{Key: "config", Value: []byte("1"), Revision: 1}}}, "peer")
	return f
}

var newest = directory.Position{Revision: 1}

// Guards against a confirmation that looks newer each time that a peer passes it on.
func TestConfirmationIsDatedOnce(t *testing.T) {
	is := is.New(t)
	f := newIdleFollower(nil)
	start := time.Now()
	c := Confirmation{Source: 7, Number: 3}
	f.Confirm(newest, c, 0, start)
	for i := range 10 {
		f.Confirm(newest, c, 0, start.Add(time.Duration(i)*100*time.Millisecond))
	}
	is.Equal(f.Age(start.Add(time.Second)), time.Second)
	f.Confirm(newest, Confirmation{Source: 7, Number: 2}, 0, start.Add(time.Second)) // an earlier one
	is.Equal(f.Age(start.Add(time.Second)), time.Second)
	f.Confirm(newest, Confirmation{}, 0, start.Add(time.Second)) // from a daemon that does not state it
	is.Equal(f.Age(start.Add(time.Second)), time.Second)
	f.Confirm(newest, Confirmation{Source: 7, Number: 4}, 0, start.Add(time.Second))
	is.Equal(f.Age(start.Add(time.Second)), time.Duration(0))
}

// Guards against a confirmation that is lost because it arrived before the items that it
// confirms.
func TestConfirmationCountsOnceItsPositionIsKnown(t *testing.T) {
	is := is.New(t)
	f := newIdleFollower(nil)
	start := time.Now()
	ahead := directory.Position{Revision: 2}
	f.Confirm(ahead, Confirmation{Source: 7, Number: 1}, 0, start)
	f.Merge(Reading{Position: ahead}, "peer")
	f.Confirm(ahead, Confirmation{Source: 7, Number: 1}, 0, start.Add(time.Second))
	is.Equal(f.Age(start.Add(time.Second)), time.Second)
}

// Guards against a memory of sources that grows with each restart of a daemon.
func TestConfirmationsOfOldSourcesAreForgotten(t *testing.T) {
	is := is.New(t)
	f := newFreshness(1)
	start := time.Now()
	for i := range 2 * maxSources {
		f.date(Confirmation{Source: uint64(10 + i), Number: 1}, start.Add(time.Duration(i)))
	}
	is.Equal(len(f.dates), maxSources)
	_, newestKept := f.dates[uint64(10+2*maxSources-1)]
	is.True(newestKept)
}

// Guards against reports and answers that waited in the sockets of a frozen process and
// count as new when it wakes (review case 4).
func TestMessagesThatWaitedConfirmNothingNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const frozen = 4 * time.Second
		f := newIdleFollower(pause.NewMonitor(time.Now(), minPause))
		time.Sleep(frozen)
		f.Confirm(newest, Confirmation{Source: 7, Number: 1}, time.Second, time.Now())
		is.Equal(f.Age(time.Now()), frozen+time.Second)
		f.confirmFromStore(newest, 0, time.Now())
		is.Equal(f.Age(time.Now()), frozen)
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			f.Age(time.Now()) // the process runs again
		}
		f.Confirm(newest, Confirmation{Source: 7, Number: 2}, 0, time.Now())
		is.Equal(f.Age(time.Now()), time.Duration(0))
	})
}

// Guards against a directory that appears as new as before after its VM was suspended,
// which the monotonic clock does not count.
func TestSuspendedVMKnowsTheAgeOfItsDirectory(t *testing.T) {
	is := is.New(t)
	f := newIdleFollower(nil)
	now := time.Now()
	c := Confirmation{Source: 7, Number: 1}
	f.Confirm(newest, c, 0, now)
	f.freshness.handlePause(&pause.Pause{End: now, Length: 4 * time.Second, Uncounted: 4 * time.Second})
	is.Equal(now.Sub(f.freshness.newest.at), 4*time.Second)
	date, _ := f.freshness.date(c, now)
	is.Equal(now.Sub(date), 4*time.Second)
}
