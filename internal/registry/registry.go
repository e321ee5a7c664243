// Package registry keeps a daemon's directory up to date. A few daemons watch
// the platform's store; the others get its items from these peers.
package registry

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/directory"
)

// Errors of a Source.
var (
	// ErrHistoryLost means that the source no longer has the changes after the
	// requested revision, was restored meanwhile, or has more of them than an answer may
	// hold. Only a new listing returns the current state.
	ErrHistoryLost = errors.New("history is no longer available")
	// ErrThrottled means that the source refused a call because of its rate limit.
	ErrThrottled = errors.New("call rate exceeded")
	// ErrUnavailable means that the source did not answer or that its answer was
	// unusable.
	ErrUnavailable = errors.New("source unavailable")
	// ErrLeaseExpired means that the lease does not exist any more.
	ErrLeaseExpired = errors.New("lease has expired")
)

// Item is a key and its value as read from the store.
type Item struct {
	Key string
	// Value is the current value, or the last known one of a deleted item.
	Value []byte
	// Revision is the revision of the last change of the item, Created that of its
	// creation.
	Revision, Created uint64
	// Lease is the lease on which the item depends, zero for none. The store
	// deletes the item when the lease expires.
	Lease   uint64
	Deleted bool
	// Lost is set if a restored store lacks the item, which is deleted or kept until its
	// writer writes it again.
	Lost bool
	// ReadAt is the time at which a daemon read the item from the store.
	ReadAt time.Time
}

// Reading is the result of reading the store up to a position: all items, or the
// changes after another position of the same era.
type Reading struct {
	directory.Position
	// Complete reports whether Items holds all items of the store, and possibly
	// deleted ones. Otherwise it holds the changes since the requested position.
	Complete bool
	Items    []Item
}

// Source is a client of the store. Its errors wrap ErrHistoryLost, ErrThrottled,
// ErrLeaseExpired or ErrUnavailable.
type Source interface {
	// List returns all items.
	List(ctx context.Context) (Reading, error)
	// Watch returns the changes after a revision as soon as there are any, or an
	// empty reading once wait has passed. If the store was restored since the revision
	// was read, the reading has a later era and may lack changes.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Reading, error)
	// CreateLease creates a lease that expires after ttl unless it is renewed.
	CreateLease(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	// RenewLease renews a lease for another ttl.
	RenewLease(ctx context.Context, lease uint64) error
	// Put writes an item that is deleted when the lease expires.
	Put(ctx context.Context, key string, value []byte, lease uint64) error
	// Close closes idle connections, so that the next call opens a new one.
	Close()
}

// Decoder turns items of the platform into changes of the directory.
type Decoder interface {
	// Decode returns the change that an item stands for. It reports false if the
	// item does not concern the directory.
	Decode(i Item) (directory.Change, bool)
}
