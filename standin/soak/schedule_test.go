package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a seed that plays other steps the next time, and against steps
// that concern what the site does not have.
func TestScheduleFollowsItsSeed(t *testing.T) {
	is := is.New(t)
	kindsSeen := map[string]bool{}
	for seed := range uint64(200) {
		a, b := NewSchedule(seed, 20*time.Second, 3, 2), NewSchedule(seed, 20*time.Second, 3, 2)
		is.Equal(a.String(), b.String())
		for _, step := range a {
			is.True(step.Daemon < 6 && step.Zone < 3 && step.Count >= 1 && step.Duration > 0 && step.At < 20*time.Second)
			is.True(seed%2 == 0 || !kinds[step.Kind].wholeStore)
			kindsSeen[step.Kind] = true
		}
	}
	is.Equal(len(kindsSeen), len(kinds)) // every kind is drawn
}

// Guards against a schedule that is cut down to one that does not fail, or keeps
// steps that it does not need.
func TestShrinkKeepsWhatIsNeeded(t *testing.T) {
	is := is.New(t)
	whole := NewSchedule(5, 30*time.Second, 3, 2)
	needed := []int{3, 11}
	small := Shrink(whole, func(s Schedule) bool {
		return slices.Contains(s.Numbers(), needed[0]) && slices.Contains(s.Numbers(), needed[1])
	})
	is.Equal(small.Numbers(), needed)
	is.Equal(whole.Select(needed).Numbers(), needed)
	is.Equal(len(whole.Select(nil)), len(whole))
}
