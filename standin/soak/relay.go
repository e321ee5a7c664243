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

// Settings of the relays.
const (
	relayBuffer = 64 << 10 // bytes
	// cutPollInterval is the interval at which a stream checks whether its cut has ended.
	cutPollInterval = 20 * time.Millisecond
)

// relayDatagrams forwards the datagrams that arrive at a socket, subject to the link
// faults, until the socket is closed. route returns the direction of a datagram and the
// function that sends it, or false to drop it because its sender is unknown.
func relayDatagrams(faults *linkFaults, in *net.UDPConn, route func(from netip.Addr, b []byte) (direction, func([]byte), bool)) {
	buffer := make([]byte, relayBuffer)
	for {
		n, from, err := in.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier datagram was refused because its process is down
		}
		d, send, ok := route(from.Addr().Unmap(), buffer[:n])
		if !ok {
			continue
		}
		passes, delay := faults.state(d.from, d.to)
		if !passes {
			continue
		}
		if delay == 0 {
			send(buffer[:n])
			continue
		}
		delayed := append([]byte(nil), buffer[:n]...)
		time.AfterFunc(delay, func() { send(delayed) })
	}
}

// relayedConn is a connection through a relay: near was accepted by the relay, far was
// dialled by it.
type relayedConn struct {
	near, far net.Conn
	silent    atomic.Bool
	closing   sync.Once
	closed    chan struct{}
}

// reset resets the connection at both ends.
func (r *relayedConn) reset() {
	r.closing.Do(func() {
		for _, c := range []net.Conn{r.near, r.far} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // makes Close send a reset instead of a FIN
			}
			_ = c.Close()
		}
		close(r.closed)
	})
}

// silence stops forwarding on the connection and leaves it open.
func (r *relayedConn) silence() { r.silent.Store(true) }

// relayConnections accepts connections and forwards their data, subject to the link
// faults, until the listener is closed. dial connects to the destination and returns the
// direction from the accepted connection to it. When ctx ends, all connections are
// reset.
func relayConnections(ctx context.Context, faults *linkFaults, l net.Listener, dial func(from netip.Addr) (net.Conn, direction, error)) {
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
				_ = near.(*net.TCPConn).SetLinger(0) // resets the connection, as if its port were closed
				_ = near.Close()
				return
			}
			r := &relayedConn{near: near, far: far, closed: make(chan struct{})}
			faults.track(r, d)
			defer faults.untrack(r)
			stop := context.AfterFunc(ctx, r.reset)
			defer stop()
			var both conc.WaitGroup
			both.Go(func() { r.forward(faults, far, near, d) })
			both.Go(func() { r.forward(faults, near, far, direction{d.to, d.from}) })
			both.Wait()
		})
	}
}

// forward copies one direction of the connection with the delay of that direction. Data
// that arrives during a cut is forwarded after it.
func (r *relayedConn) forward(faults *linkFaults, to io.Writer, from io.Reader, d direction) {
	defer r.reset()
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if !r.waitToForward(faults, d) {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// waitToForward waits for the delay of a direction and until it is neither cut nor
// silenced. It returns false if the connection is closed meanwhile.
func (r *relayedConn) waitToForward(faults *linkFaults, d direction) bool {
	passes, delay := faults.state(d.from, d.to)
	for pause := delay; pause > 0 || !passes || r.silent.Load(); pause = 0 {
		if pause == 0 {
			pause = cutPollInterval
		}
		select {
		case <-r.closed:
			return false
		case <-time.After(pause):
		}
		passes, _ = faults.state(d.from, d.to)
	}
	return true
}
