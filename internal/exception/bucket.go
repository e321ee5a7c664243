// Package exception keeps track of flows that are not on their default server.
// An owner sends its exceptions to one backup; a daemon keeps the exceptions
// of the owners it backs up and hands them to new owners.
package exception

import (
	"sync"
	"time"
)

// bucket is a token bucket in bytes whose tokens can be given back: an
// exception that ends before it was sent costs nothing. x/time/rate cannot
// return tokens that were granted at once.
type bucket struct {
	mu     sync.Mutex
	rate   float64 // bytes per second
	size   float64 // bytes
	tokens float64
	last   time.Time
}

// burstPeriod is how long the bucket collects unused tokens.
const burstPeriod = 5 * time.Second

func newBucket(bytesPerSecond int, now time.Time) *bucket {
	size := float64(bytesPerSecond) * burstPeriod.Seconds()
	return &bucket{rate: float64(bytesPerSecond), size: size, tokens: size, last: now}
}

// fill adds the tokens since the last call. The caller holds b.mu.
func (b *bucket) fill(now time.Time) {
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.tokens = min(b.size, b.tokens+elapsed.Seconds()*b.rate)
		b.last = now
	}
}

// has reports whether n bytes are left, without taking them.
func (b *bucket) has(n int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	return b.tokens >= float64(n)
}

// take removes n bytes. The level may fall below zero by at most one bucket,
// for exceptions that cannot be avoided.
func (b *bucket) take(n int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fill(now)
	b.tokens = max(b.tokens-float64(n), -b.size)
}

// give returns n bytes.
func (b *bucket) give(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.size, b.tokens+float64(n))
}
