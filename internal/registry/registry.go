// Package registry keeps a daemon's directory up to date from a source that
// lists items and reports their changes.
package registry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/directory"
)

// Errors of a Source.
var (
	// ErrHistoryLost means that changes after the revision are not known any
	// more: only a new listing tells the state.
	ErrHistoryLost = errors.New("history is no longer available")
	// ErrThrottled means that the source refuses calls because of their rate.
	ErrThrottled = errors.New("call rate exceeded")
	// ErrUnavailable means that the source gave no usable answer.
	ErrUnavailable = errors.New("source unavailable")
)

// Reading is what a call has returned.
type Reading struct {
	// Revision is the one from which to watch next.
	Revision uint64
	Items    []directory.Change
}

// Source is where routes and servers are registered.
type Source interface {
	// List returns all items.
	List(ctx context.Context) (Reading, error)
	// Watch returns the changes after a revision, as soon as there are any or
	// when the wait has passed. Errors wrap ErrHistoryLost, ErrThrottled or
	// ErrUnavailable.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Reading, error)
	// Close closes idle connections.
	Close()
}
