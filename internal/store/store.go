// Package store is the client of the platform's key-value service: the
// interface that the other packages use, and its HTTP client.
//
// # HTTP protocol
//
// Keys are part of the path and keep their slashes.
//
//	GET  /v1/values/KEY                 value, 404 if there is none
//	GET  /v1/values/KEY?after=R&wait=D  long poll: the value once its revision is above R, 304 after D
//	PUT  /v1/values/KEY?revision=R      compare-and-swap; R=0 creates; 409 if the revision differs
//	GET  /v1/vms                        JSON list of VMs, updated with a delay
//	PUT  /v1/leases/NAME?holder=H&ttl=D takes or renews a lease; 409 while another holder has it
//
// Values are raw bodies. The responses to a GET of a value and to a successful PUT
// have the revision in the header Store-Revision. 429 means that the service's rate
// limit is exceeded, and 503 that the service did nothing.
package store

import (
	"context"
	"net/netip"

	"github.com/go-faster/errors"
)

// Store is the platform's key-value service.
type Store interface {
	// Get returns the value of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Value, error)
	// Swap writes data if the key still has this revision, and returns the new
	// revision. Revision 0 creates the key. It returns ErrConflict if the key has
	// another revision, and ErrUnknownOutcome if it is not known whether the
	// write has taken effect.
	Swap(ctx context.Context, key string, data []byte, revision uint64) (uint64, error)
	// Watch returns the value once its revision is higher than after, or
	// ErrNotModified when the service ends the wait.
	Watch(ctx context.Context, key string, after uint64) (Value, error)
	// VMs returns the platform's list of live and leaving VMs, which is updated
	// with a delay.
	VMs(ctx context.Context) ([]VM, error)
}

// Value is the value of a key. The revision grows with each write.
type Value struct {
	Data     []byte
	Revision uint64
}

// VM is one entry of the platform's list.
type VM struct {
	Name     string         `json:"name"`
	Region   string         `json:"region"`
	Zone     string         `json:"zone"`
	Control  netip.AddrPort `json:"control"`
	Data     netip.AddrPort `json:"data"`
	Capacity uint32         `json:"capacity"`
	Leaving  bool           `json:"leaving,omitempty"`
}

// Errors of a Store. Implementations wrap them.
var (
	ErrNotFound    = errors.New("key not found")
	ErrConflict    = errors.New("key has another revision")
	ErrNotModified = errors.New("key not modified")
	// ErrUnavailable means that the service did not answer, or answered that it
	// did nothing.
	ErrUnavailable = errors.New("store unavailable")
	// ErrThrottled means that a rate limit of the service is exceeded.
	ErrThrottled = errors.New("store throttled")
	// ErrUnknownOutcome means that a write may have taken effect.
	ErrUnknownOutcome = errors.New("outcome of the write is unknown")
)

// MaxValueSize is the largest value that the service accepts: 1 MB.
const MaxValueSize = 1_000_000
