// Package wait pauses a goroutine until a time has passed or its work is over.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports false if ctx ends first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// untilPoll is how often Until looks at its condition.
const untilPoll = 10 * time.Millisecond

// Until waits until a condition holds and reports false if it does not within the
// bound or ctx ends first.
func Until(ctx context.Context, bound time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(bound); !condition(); {
		if time.Now().After(deadline) || !For(ctx, untilPoll) {
			return false
		}
	}
	return true
}
