package bench

import (
	"fmt"
	"slices"
)

// Goals of section 1.5 of the design page that a site of 8 balancers can show.
const (
	goalImbalance    = 1.10
	goalControl      = 4000 // bytes per second of each daemon
	goalCrashBroken  = 1.0 / 1000
	goalBrokenByPlan = 0
)

// Goal is a goal of the design page with its verdict. It judges Own alone.
type Goal struct {
	Name string `json:"name"`
	Met  bool   `json:"met"`
	// Detail has the worst figure that was measured.
	Detail string `json:"detail"`
}

// goals judges the goals for which there are runs of Own.
func goals(results []Result, comparisons []Comparison) []Goal {
	var own []Result
	for _, r := range results {
		if r.Policy == DefaultPolicy {
			own = append(own, r)
		}
	}
	if len(own) == 0 {
		return nil
	}
	out := []Goal{brokenGoal(own), controlGoal(own), promiseGoal(own)}
	if steady := inSetting(own, Steady); len(steady) > 0 {
		out = append(out, imbalanceGoal(steady))
	}
	if crash := inSetting(own, Crash); len(crash) > 0 {
		out = append(out, crashGoal(crash))
	}
	if len(comparisons) > 0 {
		out = append(out, comparisonGoal(comparisons))
	}
	return out
}

func inSetting(results []Result, setting string) []Result {
	return slices.DeleteFunc(slices.Clone(results), func(r Result) bool { return r.Setting != setting })
}

func brokenGoal(own []Result) Goal {
	n := 0
	for _, r := range own {
		n += r.BrokenPlanned
	}
	return Goal{"no flow broken without a crash", n <= goalBrokenByPlan, fmt.Sprintf("%d broken", n)}
}

func crashGoal(crash []Result) Goal {
	broken, open := 0, 0
	for _, r := range crash {
		broken += r.BrokenUnplanned
		open += r.OpenAtCrash
	}
	met := float64(broken) < goalCrashBroken*float64(open)
	return Goal{"a crash breaks fewer than 1 in 1,000 open flows", met, fmt.Sprintf("%d of %d", broken, open)}
}

func controlGoal(own []Result) Goal {
	highest := 0.0
	for _, r := range own {
		highest = max(highest, r.ControlTraffic.Max)
	}
	return Goal{"control at most 4 KB/s for each daemon", highest <= goalControl, fmt.Sprintf("highest %.0f B/s", highest)}
}

func promiseGoal(own []Result) Goal {
	n := 0
	for _, r := range own {
		n += r.ViolationCount
	}
	return Goal{"no promise broken", n == 0, fmt.Sprintf("%d violations", n)}
}

func imbalanceGoal(steady []Result) Goal {
	highest := 0.0
	for _, r := range steady {
		for _, p := range r.Pools {
			highest = max(highest, p.Imbalance)
		}
	}
	return Goal{"imbalance at most 1.10 in steady state", highest <= goalImbalance, fmt.Sprintf("highest %.2f", highest)}
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
