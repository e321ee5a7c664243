package soak

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
)

// Sizes and times of the relays.
const (
	relayBuffer = 64 << 10
	// cutPoll is how often a stream looks whether its cut has ended.
	cutPoll = 20 * time.Millisecond
)

// relayDatagrams passes datagrams that arrive at a socket on. route returns the
// ends of the link and the send function, or false for foreign ones. It returns when
// the socket is closed.
func relayDatagrams(c *conditions, in *net.UDPConn, route func(from netip.Addr, b []byte) (direction, func([]byte), bool)) {
	buffer := make([]byte, relayBuffer)
	for {
		n, from, err := in.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the refusal of an earlier datagram by a process that is down
		}
		d, send, ok := route(from.Addr().Unmap(), buffer[:n])
		if !ok {
			continue
		}
		passes, delay := c.of(d.from, d.to)
		if !passes {
			continue
		}
		if delay == 0 {
			send(buffer[:n])
			continue
		}
		late := append([]byte(nil), buffer[:n]...)
		time.AfterFunc(delay, func() { send(late) })
	}
}

// relayed is one connection through a relay.
type relayed struct {
	near, far net.Conn
	silent    atomic.Bool
	closing   sync.Once
	closed    chan struct{}
}

// reset breaks the connection at both ends.
func (r *relayed) reset() {
	r.closing.Do(func() {
		for _, c := range []net.Conn{r.near, r.far} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // a reset instead of a proper end
			}
			_ = c.Close()
		}
		close(r.closed)
	})
}

// silence lets nothing through any more, and breaks nothing.
func (r *relayed) silence() { r.silent.Store(true) }

// relayConnections accepts connections until the listener is closed. dial returns
// the other end and the direction from the caller to it.
func relayConnections(ctx context.Context, c *conditions, l net.Listener, dial func(from netip.Addr) (net.Conn, direction, error)) {
	var streams conc.WaitGroup
	defer streams.Wait()
	for {
		near, err := l.Accept()
		if err != nil {
			return // the listener was closed
		}
		streams.Go(func() {
			from, err := netip.ParseAddrPort(near.RemoteAddr().String())
			if err != nil {
				_ = near.Close()
				return
			}
			far, d, err := dial(from.Addr())
			if err != nil {
				_ = near.(*net.TCPConn).SetLinger(0) // nobody listens there: a reset
				_ = near.Close()
				return
			}
			r := &relayed{near: near, far: far, closed: make(chan struct{})}
			c.track(r, d)
			defer c.untrack(r)
			stop := context.AfterFunc(ctx, r.reset)
			defer stop()
			var both conc.WaitGroup
			both.Go(func() { r.copy(c, far, near, d) })
			both.Go(func() { r.copy(c, near, far, direction{d.to, d.from}) })
			both.Wait()
		})
	}
}

// copy passes a stream on, as late as its direction asks for. What a cut holds up
// arrives after it.
func (r *relayed) copy(c *conditions, to io.Writer, from io.Reader, d direction) {
	defer r.reset()
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if !r.hold(c, d) {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// hold waits until data may pass. It returns false when the connection is closed.
func (r *relayed) hold(c *conditions, d direction) bool {
	passes, delay := c.of(d.from, d.to)
	for pause := delay; pause > 0 || !passes || r.silent.Load(); pause = 0 {
		if pause == 0 {
			pause = cutPoll
		}
		select {
		case <-r.closed:
			return false
		case <-time.After(pause):
		}
		passes, _ = c.of(d.from, d.to)
	}
	return true
}
