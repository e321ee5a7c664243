package site

import (
	"math"
	"slices"

	"knapweedshore.example/standin/backend"
)

// imbalance returns the maximum of the servers' busy times between two samples,
// divided by their speed-weighted mean. It is 0 if no server was busy.
func (p *PoolSummary) imbalance(from, to map[string]backend.Stats) float64 {
	var maxBusy, work, totalSpeed float64
	for _, s := range p.Servers {
		if s.Drained {
			continue
		}
		busy := float64(to[s.Server].Busy - from[s.Server].Busy)
		maxBusy = max(maxBusy, busy)
		work += busy * s.Speed
		totalSpeed += s.Speed
	}
	if work == 0 {
		return 0
	}
	return maxBusy / (work / totalSpeed)
}

// setWindowP99 sets WindowP99 and Windows from successive samples. Windows without
// work are ignored.
func (p *PoolSummary) setWindowP99(samples []map[string]map[string]backend.Stats) {
	var values []float64
	for i := 1; i < len(samples); i++ {
		if v := p.imbalance(samples[i-1][p.Pool], samples[i][p.Pool]); v > 0 {
			values = append(values, v)
		}
	}
	p.Windows = len(values)
	if len(values) == 0 {
		return
	}
	slices.Sort(values)
	p.WindowP99 = values[int(math.Ceil(0.99*float64(len(values))))-1]
}
