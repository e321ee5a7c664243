package soak

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Step is one fault or change.
type Step struct {
	// Number identifies the step in its schedule.
	Number int
	// At is the time from the start of the schedule to the beginning of the step.
	// Duration is how long it lasts, for kinds of steps that last.
	At, Duration time.Duration
	Kind         string
	// Daemon, Zone and Server are the indexes of the affected daemon, zone and server
	// for kinds that need them.
	Daemon, Zone, Server int
	// Count is the number of affected daemons, or determines repetitions, delays or
	// variants, depending on the kind.
	Count int
}

// String returns the step in a readable form.
func (s Step) String() string {
	return fmt.Sprintf("step %d at %.1fs: %s (daemon %d, zone %d, server %d, count %d, for %.1fs)",
		s.Number, s.At.Seconds(), s.Kind, s.Daemon, s.Zone, s.Server, s.Count, s.Duration.Seconds())
}

// Schedule lists the steps of a run in the order of time.
type Schedule []Step

// Times of the steps. Most steps last longer than the pauses, so that several overlap.
const (
	// maxStepPause is the maximum time between the beginnings of two steps.
	maxStepPause = 1500 * time.Millisecond
	// faultDuration determines the duration of a step, which is 0.1 to 1.1 times as long.
	faultDuration = 6 * time.Second
	// simultaneousShare is the share of steps that begin together with the previous one.
	simultaneousShare = 0.25
)

// HasStoreFaults reports whether the schedule of a seed has faults of the store as a whole.
// Half of the seeds have none, so that promises with a time limit are checked most of the
// time.
func HasStoreFaults(seed uint64) bool { return seed%2 == 0 }

// NewSchedule returns the random schedule of a seed.
func NewSchedule(seed uint64, length time.Duration, zones, daemons int) Schedule {
	random := rand.New(rand.NewPCG(seed, 0x50a4))
	names := slices.Sorted(maps.Keys(stepKinds))
	if !HasStoreFaults(seed) {
		names = slices.DeleteFunc(names, func(name string) bool { return stepKinds[name].wholeStore })
	}
	total := 0
	for _, name := range names {
		total += stepKinds[name].weight
	}
	var schedule Schedule
	at := time.Duration(0)
	for {
		if random.Float64() >= simultaneousShare {
			at += time.Duration(random.Int64N(int64(maxStepPause)))
		}
		if at >= length {
			return schedule
		}
		draw, kind := random.IntN(total), ""
		for _, name := range names {
			if draw -= stepKinds[name].weight; draw < 0 {
				kind = name
				break
			}
		}
		schedule = append(schedule, Step{
			Number: len(schedule), At: at, Kind: kind, Duration: faultDuration/10 + time.Duration(random.Int64N(int64(faultDuration))),
			Daemon: random.IntN(zones * daemons), Zone: random.IntN(zones), Server: random.IntN(1 << 16), Count: 1 + random.IntN(4),
		})
	}
}

// sortByTime sorts the steps by time, and by number if they begin together.
func (s Schedule) sortByTime() {
	slices.SortFunc(s, func(a, b Step) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Number, b.Number)) })
}

// Select returns the steps with the given numbers, or all steps if numbers is empty.
func (s Schedule) Select(numbers []int) Schedule {
	if len(numbers) == 0 {
		return s
	}
	return slices.DeleteFunc(slices.Clone(s), func(step Step) bool { return !slices.Contains(numbers, step.Number) })
}

// Numbers returns the numbers of the steps.
func (s Schedule) Numbers() []int {
	numbers := make([]int, 0, len(s))
	for _, step := range s {
		numbers = append(numbers, step.Number)
	}
	return numbers
}

// String returns one line for each step.
func (s Schedule) String() string {
	var b strings.Builder
	for _, step := range s {
		fmt.Fprintln(&b, step)
	}
	return b.String()
}

// Shrink returns a smaller schedule that still fails. It removes parts of decreasing size
// as long as fails reports that a run of the remaining steps fails.
func Shrink(s Schedule, fails func(Schedule) bool) Schedule {
	for part := (len(s) + 1) / 2; part >= 1; part /= 2 {
		for from := 0; from < len(s); {
			to := min(len(s), from+part)
			rest := append(slices.Clone(s[:from]), s[to:]...)
			if len(rest) > 0 && fails(rest) {
				s = rest
				continue
			}
			from = to
		}
	}
	s.sortByTime()
	return s
}
