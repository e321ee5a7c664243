package soak

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against different schedules for the same seed, against steps that affect
// daemons or zones that the site does not have, and against faults of the whole store in
// schedules of odd seeds.
func TestScheduleFollowsItsSeed(t *testing.T) {
	is := is.New(t)
	seenKinds := map[string]bool{}
	for seed := range uint64(200) {
		restores := 0
		if HasStoreFaults(seed) {
			restores = 2
		}
		newSchedule := func() Schedule {
			return NewSchedule(seed, 20*time.Second, 3, 2).WithRestores(seed, 20*time.Second, restores).WithEvacuations(seed, 20*time.Second, 3, 1)
		}
		a, b := newSchedule(), newSchedule()
		is.Equal(a.String(), b.String())
		for _, step := range a {
			is.True(step.Daemon < 6 && step.Zone < 3 && step.Count >= 1 && step.Duration > 0 && step.At < 20*time.Second)
			is.True(seed%2 == 0 || !stepKinds[step.Kind].wholeStore)
			seenKinds[step.Kind] = true
		}
		others := slices.DeleteFunc(b, func(step Step) bool { return step.Kind == restoreKind || step.Kind == evacuateKind })
		is.Equal(others.String(), NewSchedule(seed, 20*time.Second, 3, 2).String())
	}
	is.Equal(len(seenKinds), len(stepKinds)) // every kind occurs
}

// Guards against shrinking to a schedule that no longer fails, and against keeping
// unneeded steps.
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
