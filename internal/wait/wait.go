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
