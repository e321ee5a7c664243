package soak

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/standin/platform"
)

// Guards against a checker that applies a time limit to a daemon that was impaired
// recently, or does not apply it to one that was not.
func TestCheckerChecksStableDaemons(t *testing.T) {
	for name, c := range map[string]struct {
		impaired []node
		wait     time.Duration
		broken   bool
	}{
		"stable":                  {nil, 0, true},
		"another daemon impaired": {[]node{daemonNode(1)}, 0, true},
		"impaired recently":       {[]node{daemonNode(0)}, recoveryTime - time.Second, false},
		"store impaired recently": {[]node{storeNode}, recoveryTime - time.Second, false},
		"impaired a while ago":    {[]node{daemonNode(0)}, recoveryTime + time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				chk := newChecker()
				chk.recordDrain(7)
				chk.recordRouteChange(false)
				chk.recordEvacuation(1, true)
				time.Sleep(drainBound)
				chk.impair(c.impaired...)()
				time.Sleep(c.wait + time.Millisecond)
				chk.checkOpening(0, 8, counterRoute, time.Now()) // a server that does not drain
				chk.checkCopy(0, 0, time.Now())                  // a zone that is not evacuated
				is.Equal(len(chk.violations), 0)
				chk.checkOpening(0, 7, counterRoute, time.Now())
				chk.checkOpening(0, 8, toggledRoute, time.Now())
				chk.checkCopy(0, 1, time.Now())
				is.Equal(len(chk.violations) == 3, c.broken)
				is.Equal(len(chk.violations) == 0, !c.broken)
			})
		})
	}
}

// Guards against reporting a new flow before the time limit has passed.
func TestCheckerWaitsForTheTimeLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		chk := newChecker()
		chk.recordEvacuation(2, true)
		time.Sleep(time.Minute)
		chk.recordEvacuation(2, false)
		chk.checkCopy(0, 2, time.Now()) // the zone has returned
		chk.recordDrain(7)
		chk.recordRouteChange(false)
		chk.recordEvacuation(1, true)
		time.Sleep(drainBound)
		chk.checkCopy(0, 1, time.Now())
		chk.checkOpening(0, 7, counterRoute, time.Now())
		chk.checkOpening(0, 8, toggledRoute, time.Now())
		is.Equal(len(chk.violations), 0)
		is.Equal(chk.counts.Openings, 2)
	})
}

// Guards against accepting a failed flow although nothing was impaired, and against
// reporting one although a server was impaired.
func TestCheckerAcceptsFailuresUnderImpairment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		chk := newChecker()
		end := chk.impair(serverNode(3))
		began := time.Now()
		time.Sleep(time.Second)
		end()
		chk.checkFlow("flow", began, 1, platform.ErrTimeout)
		is.Equal(len(chk.violations), 0)
		time.Sleep(recoveryTime + time.Second)
		chk.checkFlow("flow", time.Now(), 1, nil)
		is.Equal(len(chk.violations), 0)
		chk.checkFlow("flow", time.Now(), 1, platform.ErrTimeout)
		is.Equal(len(chk.violations), 1)
		is.Equal(chk.counts, Counts{Flows: 3, Requests: 3, FailedFlows: 2, FaultFreeFlows: 2})
	})
}
