package bench

import (
	"fmt"
	"slices"
)

// Limits from section 1.5 of the design document, for the goals that a site of 8
// balancers can show.
const (
	maxImbalance           = 1.10
	maxControlBytesPerSec  = 4000 // of each daemon
	maxCrashBrokenFraction = 1.0 / 1000
	maxBrokenPlanned       = 0
)

// Goal is a goal of the design document and whether the runs with DefaultPolicy met it.
type Goal struct {
	Name string `json:"name"`
	Met  bool   `json:"met"`
	// Detail has the measured figure, the worst one if there are several.
	Detail string `json:"detail"`
}

// goals evaluates the goals for which there are runs with DefaultPolicy.
func goals(results []Result, comparisons []Comparison) []Goal {
	var defaultResults []Result
	for _, r := range results {
		if r.Policy == DefaultPolicy {
			defaultResults = append(defaultResults, r)
		}
	}
	if len(defaultResults) == 0 {
		return nil
	}
	out := []Goal{brokenGoal(defaultResults), controlGoal(defaultResults), promiseGoal(defaultResults)}
	if steady := withSetting(defaultResults, Steady); len(steady) > 0 {
		out = append(out, imbalanceGoal(steady))
	}
	if crash := withSetting(defaultResults, Crash); len(crash) > 0 {
		out = append(out, crashGoal(crash))
	}
	if len(comparisons) > 0 {
		out = append(out, comparisonGoal(comparisons))
	}
	return out
}

// withSetting returns the results of one setting.
func withSetting(results []Result, setting string) []Result {
	return slices.DeleteFunc(slices.Clone(results), func(r Result) bool { return r.Setting != setting })
}

func brokenGoal(results []Result) Goal {
	n := 0
	for _, r := range results {
		n += r.BrokenPlanned
	}
	return Goal{"no flow broken without a crash", n <= maxBrokenPlanned, fmt.Sprintf("%d broken", n)}
}

func crashGoal(results []Result) Goal {
	broken, open := 0, 0
	for _, r := range results {
		broken += r.BrokenUnplanned
		open += r.OpenAtCrash
	}
	met := float64(broken) < maxCrashBrokenFraction*float64(open)
	return Goal{"a crash breaks fewer than 1 in 1,000 open flows", met, fmt.Sprintf("%d of %d", broken, open)}
}

func controlGoal(results []Result) Goal {
	highest := 0.0
	for _, r := range results {
		highest = max(highest, r.ControlTraffic.Max)
	}
	return Goal{"control at most 4 KB/s for each daemon", highest <= maxControlBytesPerSec, fmt.Sprintf("highest %.0f B/s", highest)}
}

func promiseGoal(results []Result) Goal {
	n := 0
	for _, r := range results {
		n += r.ViolationCount
	}
	return Goal{"no promise broken", n == 0, fmt.Sprintf("%d violations", n)}
}

func imbalanceGoal(results []Result) Goal {
	highest := 0.0
	for _, r := range results {
		for _, p := range r.Pools {
			highest = max(highest, p.Imbalance)
		}
	}
	return Goal{"imbalance at most 1.10 in steady state", highest <= maxImbalance, fmt.Sprintf("highest %.2f", highest)}
}

func comparisonGoal(comparisons []Comparison) Goal {
	wins := 0
	for _, c := range comparisons {
		if c.Wins {
			wins++
		}
	}
	return Goal{"imbalance below every other policy", wins == len(comparisons),
		fmt.Sprintf("in %d of %d comparisons", wins, len(comparisons))}
}
