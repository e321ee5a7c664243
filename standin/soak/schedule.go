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
	// Number names the step in its schedule.
	Number int
	// At is when it begins, and Duration how long it lasts if it does.
	At, Duration time.Duration
	Kind         string
	// Daemon, Zone and Server are what it concerns, if its kind asks for one.
	Daemon, Zone, Server int
	// Count is how often a step is repeated in a series, or how many are concerned.
	Count int
}

// String returns the step for people.
func (s Step) String() string {
	return fmt.Sprintf("step %d at %.1fs: %s (daemon %d, zone %d, server %d, count %d, for %.1fs)",
		s.Number, s.At.Seconds(), s.Kind, s.Daemon, s.Zone, s.Server, s.Count, s.Duration.Seconds())
}

// Schedule is what happens in a run, in the order of time.
type Schedule []Step

// Pauses between the beginnings of two steps. Steps last up to longestFault, so
// that several overlap.
const (
	longestPause = 1500 * time.Millisecond
	longestFault = 6 * time.Second
	// together is the share of steps that begin at the moment of the step before.
	together = 0.25
)

// NewSchedule draws the steps of a seed. Odd seeds leave the store as a whole alone,
// so that the promises with a bound are judged most of the time.
func NewSchedule(seed uint64, length time.Duration, zones, daemons int) Schedule {
	random := rand.New(rand.NewPCG(seed, 0x50a4))
	names := slices.Sorted(maps.Keys(kinds))
	if seed%2 == 1 {
		names = slices.DeleteFunc(names, func(name string) bool { return kinds[name].wholeStore })
	}
	total := 0
	for _, name := range names {
		total += kinds[name].weight
	}
	var schedule Schedule
	at := time.Duration(0)
	for {
		if random.Float64() >= together {
			at += time.Duration(random.Int64N(int64(longestPause)))
		}
		if at >= length {
			return schedule
		}
		draw, kind := random.IntN(total), ""
		for _, name := range names {
			if draw -= kinds[name].weight; draw < 0 {
				kind = name
				break
			}
		}
		schedule = append(schedule, Step{
			Number: len(schedule), At: at, Kind: kind, Duration: longestFault/10 + time.Duration(random.Int64N(int64(longestFault))),
			Daemon: random.IntN(zones * daemons), Zone: random.IntN(zones), Server: random.IntN(1 << 16), Count: 1 + random.IntN(4),
		})
	}
}

// Select returns the steps with the given numbers, or all if there are none.
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

// Shrink returns a part of a schedule that still fails, as small as it can be found
// by leaving out ever smaller parts. fails plays a schedule.
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
	slices.SortFunc(s, func(a, b Step) int { return cmp.Compare(a.Number, b.Number) })
	return s
}
