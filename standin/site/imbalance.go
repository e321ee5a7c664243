package site

import (
	"math"
	"slices"

	"knapweedshore.example/standin/backend"
)

// imbalance is the maximum over the speed-weighted mean of the servers' busy
// times between two samples, 0 without any work.
func (p *PoolSummary) imbalance(from, to map[string]backend.Stats) float64 {
	var highest, work, speed float64
	for _, s := range p.Servers {
		if s.Drained {
			continue
		}
		busy := float64(to[s.Server].Busy - from[s.Server].Busy)
		highest = max(highest, busy)
		work += busy * s.Speed
		speed += s.Speed
	}
	if work == 0 {
		return 0
	}
	return highest / (work / speed)
}

// setWindows takes the percentile over successive samples.
func (p *PoolSummary) setWindows(samples []map[string]map[string]backend.Stats) {
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
