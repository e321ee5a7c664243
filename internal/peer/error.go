package peer

import (
	"github.com/go-faster/errors"
)

// Error is the failure of an operation with a peer.
type Error struct {
	// Op is the operation that failed, for example "dial" or "put exceptions".
	Op string
	// Peer is the member's name, its address if the name is unknown, or "any".
	Peer string
	Err  error
}

// Error returns the operation, the peer and the cause.
func (e *Error) Error() string { return e.Op + ": peer " + e.Peer + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// opError returns an *Error, or nil if err is nil.
func opError(op, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: op, Peer: peer, Err: err}
}

// wrap adds a message to err. Unlike errors.Wrap, it returns nil if err is nil.
func wrap(err error, message string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, message)
}

// Causes of errors that callers distinguish.
var (
	// ErrRefused means that the peer failed authentication.
	ErrRefused = errors.New("peer refused")
	// ErrUnknownPeer means that no member has this name, or that it has left.
	ErrUnknownPeer = errors.New("no such member, or it has left")
	// ErrStopped means that this node has been stopped.
	ErrStopped = errors.New("node stopped")
)

// refusedf returns an error that wraps ErrRefused.
func refusedf(format string, args ...any) error {
	return errors.Wrapf(ErrRefused, format, args...)
}
