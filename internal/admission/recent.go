package admission

import "time"

// recentSlots is the number of counters of a recent.
const recentSlots = 8

// recent counts the requests in progress of a route that are younger than its target
// latency. An older one is more likely lost than waiting: servers that are gone leave
// requests that take no room.
type recent struct {
	counts  [recentSlots]int
	periods [recentSlots]int64
}

// add changes the count of the requests that began at a time.
func (r *recent) add(n int, begunAt time.Time, target time.Duration) {
	period := periodOf(begunAt, target)
	i := period % recentSlots
	if r.periods[i] != period {
		if n < 0 {
			return
		}
		r.counts[i], r.periods[i] = 0, period
	}
	r.counts[i] += n
}

// total returns the number of requests.
func (r *recent) total(now time.Time, target time.Duration) int {
	total, period := 0, periodOf(now, target)
	for i, n := range r.counts {
		if age := period - r.periods[i]; age >= 0 && age < recentSlots {
			total += n
		}
	}
	return total
}

func periodOf(t time.Time, target time.Duration) int64 {
	return t.UnixNano() / max(1, int64(target)/recentSlots)
}
