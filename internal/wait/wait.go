// Package wait blocks until a time has passed, a condition holds or a context ends.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns false if ctx ends first.
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

// pollInterval is the time between two checks of the condition in Until.
const pollInterval = 10 * time.Millisecond

// Until waits until condition returns true. It returns false if the timeout passes
// or ctx ends first.
func Until(ctx context.Context, timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); !condition(); {
		if time.Now().After(deadline) || !For(ctx, pollInterval) {
			return false
		}
	}
	return true
}
