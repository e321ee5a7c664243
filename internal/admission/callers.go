package admission

import (
	"net/netip"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// callerBuckets is the number of counters that all callers share, so that the state is
	// bounded.
	callerBuckets = 1024
	// drawPeriod is how long a caller has the same draw. Its repeats meet the same answer
	// and take no room from others; the next period favours other callers.
	drawPeriod = time.Second
	// callerHalfLife is the time after which an attempt counts half.
	callerHalfLife = time.Second
)

// callers counts the recent attempts of callers to find those that ask more often than
// the others. Callers that share a bucket count as one.
type callers struct {
	counts   [callerBuckets]float32
	total    float32
	asking   int // buckets that are not empty
	halvedAt time.Time
}

// ask counts an attempt and returns how many times more often than the average caller this
// one asks, at least 1.
func (c *callers) ask(caller netip.Addr, now time.Time) float64 {
	if now.Sub(c.halvedAt) >= callerHalfLife {
		c.halve(now)
	}
	b := caller.As16()
	n := &c.counts[xxhash.Sum64(b[:])%callerBuckets]
	if *n == 0 {
		c.asking++
	}
	*n++
	c.total++
	return max(1, float64(*n)*float64(c.asking)/float64(c.total)/excessTolerance)
}

// excessTolerance is how many times more often than the average a caller may ask before it
// is refused more often: few attempts are not evenly spread by chance.
const excessTolerance = 3

// halve halves all counts and drops those that stand for no attempt.
func (c *callers) halve(now time.Time) {
	c.total, c.asking, c.halvedAt = 0, 0, now
	for i := range c.counts {
		c.counts[i] /= 2
		if c.counts[i] < 0.5 {
			c.counts[i] = 0
			continue
		}
		c.total += c.counts[i]
		c.asking++
	}
}

// draw returns a number from 0 to 1 that is the same at all daemons for a caller and a route
// during a period. Periods of different callers begin at different times.
func draw(caller netip.Addr, route string, now time.Time) float64 {
	b := caller.As16()
	h := xxhash.Sum64(append(b[:], route...))
	period := (uint64(now.UnixNano()) + h%uint64(drawPeriod)) / uint64(drawPeriod)
	return float64(xxhash.Sum64String(string(b[:])+route+strconv.FormatUint(period, 10))>>11) / (1 << 53)
}
