package admission

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// callerRows and callerBuckets bound the counters that all callers share.
	callerRows, callerBuckets = 2, 1024
	// callerHalfLife is the time after which an attempt counts half.
	callerHalfLife = time.Second
	// excessTolerance is how many times more often than the average a caller may ask before
	// it is refused more often: few attempts are not evenly spread.
	excessTolerance = 3
)

// callers counts the recent attempts of callers to find those that ask more often than
// the others. It is a count-min sketch: a caller has a bucket in each row, and the one that
// it shares with the fewest attempts of others tells its count.
type callers struct {
	counts [callerRows][callerBuckets]float32
	// total is the number of attempts, and asking that of the buckets of the first row with
	// some.
	total    float32
	asking   int
	halvedAt time.Time
}

// ask counts an attempt and returns how many times more often than the average caller this
// one asks, or 1 if it does not by much.
func (c *callers) ask(caller netip.Addr, now time.Time) float64 {
	if now.Sub(c.halvedAt) >= callerHalfLife {
		c.halve(now)
	}
	b := caller.As16()
	h := xxhash.Sum64(b[:])
	count := float32(math.MaxFloat32)
	for row := range c.counts {
		n := &c.counts[row][h%callerBuckets]
		if row == 0 && *n == 0 {
			c.asking++
		}
		*n++
		count = min(count, *n)
		h /= callerBuckets
	}
	c.total++
	if excess := float64(count) * float64(c.asking) / float64(c.total); excess > excessTolerance {
		return excess
	}
	return 1
}

// halve halves all counts and drops those that stand for no attempt.
func (c *callers) halve(now time.Time) {
	c.total, c.asking, c.halvedAt = 0, 0, now
	for row := range c.counts {
		for i, n := range c.counts[row] {
			if n /= 2; n < 0.5 {
				n = 0
			}
			c.counts[row][i] = n
			if row == 0 && n > 0 {
				c.total += n
				c.asking++
			}
		}
	}
}
