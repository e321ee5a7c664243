package host

import (
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/standin/fabric/inet"
)

// receiveQueueSize is the maximum number of datagrams that wait in a socket.
const receiveQueueSize = 2048

// Errors of sockets.
var (
	// ErrClosed means that the socket was closed locally.
	ErrClosed = net.ErrClosed
	// ErrUnreachable means that an ICMP port-unreachable message arrived.
	ErrUnreachable = errors.New("port unreachable")
)

// UDPConn is a UDP socket of a virtual host.
type UDPConn struct {
	host         *Host
	local        netip.AddrPort
	queue        chan *inet.Packet
	readDeadline *deadline
	closed       chan struct{}
	closeOnce    sync.Once

	// reportICMP is set for sockets with one peer. As in a kernel, only those
	// report ICMP errors.
	reportICMP bool
	refused    chan struct{}
	refuseOnce sync.Once
	received   atomic.Int64
}

var _ net.PacketConn = (*UDPConn)(nil)

// ListenUDP opens a socket on a port for any number of peers. It ignores ICMP
// errors.
func (h *Host) ListenUDP(port uint16) (*UDPConn, error) { return h.openUDP(port, false) }

// DialUDP opens a socket on an ephemeral port for one peer. After an ICMP
// port-unreachable message that arrives before any response, ReadFrom returns
// ErrUnreachable.
func (h *Host) DialUDP() (*UDPConn, error) { return h.openUDP(0, true) }

// openUDP opens a socket on a port, or on an ephemeral port if port is 0.
func (h *Host) openUDP(port uint16, reportICMP bool) (*UDPConn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if port == 0 {
		var err error
		if port, err = h.allocatePort(func(p uint16) bool { return h.udp[p] != nil }); err != nil {
			return nil, err
		}
	}
	if h.udp[port] != nil {
		return nil, errors.Errorf("host %q: UDP port %d in use", h.addr, port)
	}
	c := &UDPConn{
		host: h, local: netip.AddrPortFrom(h.addr, port), queue: make(chan *inet.Packet, receiveQueueSize),
		readDeadline: newDeadline(), closed: make(chan struct{}), reportICMP: reportICMP, refused: make(chan struct{}),
	}
	h.udp[port] = c
	return c, nil
}

// Refused reports whether an ICMP port-unreachable message arrived before any
// response.
func (c *UDPConn) Refused() bool {
	select {
	case <-c.refused:
		return true
	default:
		return false
	}
}

// Received returns the number of datagrams that arrived.
func (c *UDPConn) Received() int64 { return c.received.Load() }

// ReadFrom implements net.PacketConn.
func (c *UDPConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case <-c.closed:
		return 0, nil, c.opError("read", ErrClosed)
	case <-c.readDeadline.done():
		return 0, nil, c.opError("read", os.ErrDeadlineExceeded)
	default:
	}
	select {
	case p := <-c.queue:
		return copy(b, p.Payload), net.UDPAddrFromAddrPort(p.Src), nil
	case <-c.closed:
		return 0, nil, c.opError("read", ErrClosed)
	case <-c.refused:
		return 0, nil, c.opError("read", ErrUnreachable)
	case <-c.readDeadline.done():
		return 0, nil, c.opError("read", os.ErrDeadlineExceeded)
	}
}

// WriteTo implements net.PacketConn.
func (c *UDPConn) WriteTo(b []byte, to net.Addr) (int, error) {
	select {
	case <-c.closed:
		return 0, c.opError("write", ErrClosed)
	default:
	}
	u, ok := to.(*net.UDPAddr)
	if !ok {
		return 0, c.opError("write", errors.Errorf("address %q is not UDP", to))
	}
	dst := u.AddrPort()
	p := &inet.Packet{
		Protocol: inet.UDP, Src: c.local, Payload: b,
		Dst: netip.AddrPortFrom(dst.Addr().Unmap(), dst.Port()),
	}
	if err := c.host.send(p); err != nil {
		return 0, c.opError("write", err)
	}
	return len(b), nil
}

// Close implements net.PacketConn.
func (c *UDPConn) Close() error {
	c.closeOnce.Do(func() {
		close(c.closed)
		c.host.mu.Lock()
		if c.host.udp[c.local.Port()] == c {
			delete(c.host.udp, c.local.Port())
		}
		c.host.mu.Unlock()
	})
	return nil
}

// LocalAddr implements net.PacketConn.
func (c *UDPConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(c.local) }

// AddrPort returns the socket's local address.
func (c *UDPConn) AddrPort() netip.AddrPort { return c.local }

// SetDeadline implements net.PacketConn; writes never block.
func (c *UDPConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (c *UDPConn) SetReadDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return nil
}

// SetWriteDeadline implements net.PacketConn; writes never block.
func (c *UDPConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer does nothing. quic-go expects it in order to ask for a large
// buffer; the receive queue has a fixed size.
func (c *UDPConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer does nothing. quic-go expects it; writes are not buffered.
func (c *UDPConn) SetWriteBuffer(int) error { return nil }

func (c *UDPConn) receive(p *inet.Packet) {
	c.received.Add(1)
	select {
	case c.queue <- p:
	default:
		c.host.overflow.Add(1)
	}
}

func (c *UDPConn) handleUnreachable() {
	if c.reportICMP && c.received.Load() == 0 {
		c.refuseOnce.Do(func() { close(c.refused) })
	}
}

func (c *UDPConn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "udp", Addr: c.LocalAddr(), Err: err}
}
