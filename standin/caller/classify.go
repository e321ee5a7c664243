package caller

import (
	"context"
	"io"
	"net"
	"os"

	"github.com/go-faster/errors"
	"github.com/quic-go/quic-go"

	"knapweedshore.example/standin/fabric/host"
)

// finish sets the outcome, the reason and the error of a flow.
func (r *Result) finish(ctx context.Context, err error) {
	if err == nil {
		r.Outcome = Completed
		return
	}
	r.Err = err
	var f *failure
	if !errors.As(err, &f) {
		f = classify(err)
	}
	r.Outcome, r.Reason = f.outcome, f.reason
	if r.Outcome == Broken && ctx.Err() != nil {
		r.Reason = Stopped
	}
}

// classify maps an error of a virtual host's socket or of quic-go to an outcome
// and a reason.
func classify(err error) *failure {
	var (
		transport *quic.TransportError
		idle      *quic.IdleTimeoutError
		handshake *quic.HandshakeTimeoutError
		reset     *quic.StatelessResetError
		timeout   net.Error
	)
	switch {
	case errors.Is(err, host.ErrRefused):
		return &failure{Refused, ResetOnSYN, err}
	case errors.Is(err, host.ErrUnreachable):
		return &failure{Refused, PortUnreachable, err}
	case errors.As(err, &transport) && transport.ErrorCode == quic.ConnectionRefused && transport.Remote:
		return &failure{Refused, ConnectionRefused, err}
	case errors.Is(err, host.ErrReset), errors.As(err, &reset):
		return &failure{Broken, ResetByPeer, err}
	case errors.Is(err, host.ErrTimeout):
		return &failure{Broken, Unacknowledged, err}
	case errors.As(err, &handshake):
		return &failure{Broken, ConnectTimeout, err}
	case errors.As(err, &idle), errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded),
		errors.As(err, &timeout) && timeout.Timeout():
		return &failure{Broken, ResponseTimeout, err}
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return &failure{Broken, ShortResponse, err}
	}
	return &failure{Broken, OtherError, err}
}
