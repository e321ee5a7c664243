// Package exception keeps track of flows that are not on their default server.
// An owner sends its exceptions to one backup. A daemon stores the exceptions
// of the owners that it backs up, and hands them over to the new owners of
// their slots when the members change.
package exception

import (
	"sync"
	"time"
)

// bucket is a token bucket in bytes whose tokens can be refunded, because an
// exception that ends before it is sent must cost nothing. x/time/rate cannot
// return tokens that it has granted for immediate use.
type bucket struct {
	mu     sync.Mutex
	rate   float64 // bytes per second
	size   float64 // bytes
	tokens float64
	last   time.Time
}

// burstPeriod is how long the bucket accumulates unused tokens: its size is the
// budget for this period.
const burstPeriod = 5 * time.Second

func newBucket(bytesPerSecond int, now time.Time) *bucket {
	size := float64(bytesPerSecond) * burstPeriod.Seconds()
	return &bucket{rate: float64(bytesPerSecond), size: size, tokens: size, last: now}
}

// fill adds the tokens that accrued since the last call. b.mu must be held.
func (b *bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.tokens = min(b.size, b.tokens+elapsed.Seconds()*b.rate)
		b.last = now
	}
}

// has reports whether n bytes are available, without taking them.
func (b *bucket) has(n int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	return b.tokens >= float64(n)
}

// take removes n bytes. Exceptions that cannot be avoided may make the level
// negative, by at most the size of the bucket.
func (b *bucket) take(n int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	b.tokens = max(b.tokens-float64(n), -b.size)
}

// refund returns n bytes that were taken.
func (b *bucket) refund(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.size, b.tokens+float64(n))
}
