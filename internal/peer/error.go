package peer

import (
	"github.com/go-faster/errors"
)

// Error names the step that failed and the peer it failed with.
type Error struct {
	// Op is what was attempted, for example "dial" or "put exceptions".
	Op string
	// Peer is the name of the member, or its address if the name is unknown.
	Peer string
	Err  error
}

// Error returns step, peer and cause.
func (e *Error) Error() string { return e.Op + " with peer " + e.Peer + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func stepError(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Op: step, Peer: peer, Err: err}
}

// wrap adds a step to an error and keeps nil, which errors.Wrap does not.
func wrap(err error, step string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, step)
}

// Causes of errors that callers tell apart.
var (
	// ErrRefused means that the peer did not prove to be who it should be.
	ErrRefused = errors.New("peer refused")
	// ErrUnknownPeer means that no live member has this name.
	ErrUnknownPeer = errors.New("no such live member")
	// ErrStopped means that this node has been stopped.
	ErrStopped = errors.New("node stopped")
)

func refusedf(format string, args ...any) error {
	return errors.Wrapf(ErrRefused, format, args...)
}
