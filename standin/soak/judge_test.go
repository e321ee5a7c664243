package soak

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/standin/platform"
)

// Guards against a judge that holds a daemon to a bound while it was impaired, or
// excuses one that was not.
func TestJudgeHoldsDaemonsInTouch(t *testing.T) {
	for name, c := range map[string]struct {
		impaired []node
		wait     time.Duration
		broken   bool
	}{
		"in touch":                {nil, 0, true},
		"another daemon impaired": {[]node{daemonNode(1)}, 0, true},
		"impaired lately":         {[]node{daemonNode(0)}, recoveryTime - time.Second, false},
		"store impaired lately":   {[]node{storeNode}, recoveryTime - time.Second, false},
		"impaired a while ago":    {[]node{daemonNode(0)}, recoveryTime + time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				j := newJudge()
				j.drains(7)
				j.changed(false)
				time.Sleep(drainBound)
				j.impair(c.impaired...)()
				time.Sleep(c.wait + time.Millisecond)
				j.opening(0, 8, counterRoute, time.Now()) // a server that stays
				is.Equal(len(j.violations), 0)
				j.opening(0, 7, counterRoute, time.Now())
				j.opening(0, 8, addedRoute, time.Now())
				is.Equal(len(j.violations) == 2, c.broken)
				is.Equal(len(j.violations) == 0, !c.broken)
			})
		})
	}
}

// Guards against a new flow that is judged by a bound which has not passed yet.
func TestJudgeWaitsForTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		j := newJudge()
		time.Sleep(time.Minute)
		j.drains(7)
		j.changed(false)
		time.Sleep(drainBound)
		j.opening(0, 7, counterRoute, time.Now())
		j.opening(0, 8, addedRoute, time.Now())
		is.Equal(len(j.violations), 0)
		is.Equal(j.counts.Openings, 2)
	})
}

// Guards against a failed flow that is excused although nothing was impaired, and
// against one that is not although a server was.
func TestJudgeExcusesFlowsUnderImpairment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		j := newJudge()
		end := j.impair(serverNode(3))
		began := time.Now()
		time.Sleep(time.Second)
		end()
		j.flowEnded("flow", began, 1, platform.ErrTimeout)
		is.Equal(len(j.violations), 0)
		time.Sleep(recoveryTime + time.Second)
		j.flowEnded("flow", time.Now(), 1, nil)
		is.Equal(len(j.violations), 0)
		j.flowEnded("flow", time.Now(), 1, platform.ErrTimeout)
		is.Equal(len(j.violations), 1)
		is.Equal(j.counts, Counts{Flows: 3, Requests: 3, FailedFlows: 2, FaultFreeFlows: 2})
	})
}
