// Package registry keeps a daemon's directory up to date. Items come from the
// platform's store, which some daemons of each zone watch, and from the peers
// that have read them there.
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
	// ErrLeaseExpired means that the lease does not exist any more.
	ErrLeaseExpired = errors.New("lease has ended")
)

// Item is one item of the store as it was read there.
type Item struct {
	Key string
	// Value of a deleted item is the last one if it is known.
	Value             []byte
	Revision, Created uint64
	// Lease is what the item vanishes with; zero if it stays.
	Lease   uint64
	Deleted bool
	// ReadAt is when a daemon read the item from the store.
	ReadAt time.Time
}

// Reading is what a call has returned: everything up to Revision.
type Reading struct {
	Revision uint64
	// Complete readings hold every item, and may hold deleted ones; others hold the
	// changes since the revision that was asked for.
	Complete bool
	Items    []Item
}

// Source is the store. Errors wrap ErrHistoryLost, ErrThrottled,
// ErrLeaseExpired or ErrUnavailable.
type Source interface {
	// List returns all items.
	List(ctx context.Context) (Reading, error)
	// Watch returns the changes after a revision, as soon as there are any or
	// when the wait has passed.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Reading, error)
	// CreateLease creates a lease.
	CreateLease(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// RenewLease renews a lease.
	RenewLease(ctx context.Context, lease uint64) error
	// Put writes an item that vanishes with the lease.
	Put(ctx context.Context, key string, value []byte, lease uint64) error
	// Close closes idle connections, so that the next call opens a new one.
	Close()
}

// Decoder turns the items of the platform into changes of the directory. It
// reports false for items that do not concern the directory.
type Decoder interface {
	Decode(i Item) (directory.Change, bool)
}
