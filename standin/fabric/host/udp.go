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

// socketDatagrams is how many datagrams wait in a socket for their reader.
const socketDatagrams = 2048

// Errors of sockets.
var (
	// ErrClosed is the end of a closed socket.
	ErrClosed = net.ErrClosed
	// ErrUnreachable is an ICMP port-unreachable answer.
	ErrUnreachable = errors.New("port unreachable")
)

// UDPConn is a UDP socket of a virtual host.
type UDPConn struct {
	host   *Host
	local  netip.AddrPort
	queue  chan *inet.Packet
	read   *deadline
	closed chan struct{}
	once   sync.Once

	// reportErrors is set on sockets with one peer, as the kernel reports
	// ICMP errors only on those.
	reportErrors bool
	refused      chan struct{}
	refuseOnce   sync.Once
	received     atomic.Int64
}

var _ net.PacketConn = (*UDPConn)(nil)

// ListenUDP opens a socket on a port that many peers use. ICMP errors are
// ignored.
func (h *Host) ListenUDP(port uint16) (*UDPConn, error) { return h.openUDP(port, false) }

// DialUDP opens a socket on an ephemeral port for one peer. An ICMP
// port-unreachable message before the first response ends reading with
// ErrUnreachable.
func (h *Host) DialUDP() (*UDPConn, error) { return h.openUDP(0, true) }

func (h *Host) openUDP(port uint16, reportErrors bool) (*UDPConn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if port == 0 {
		var err error
		if port, err = h.nextPort(func(p uint16) bool { return h.udp[p] != nil }); err != nil {
			return nil, err
		}
	}
	if h.udp[port] != nil {
		return nil, errors.Errorf("host %q: UDP port %d in use", h.addr, port)
	}
	c := &UDPConn{
		host: h, local: netip.AddrPortFrom(h.addr, port), queue: make(chan *inet.Packet, socketDatagrams),
		read: newDeadline(), closed: make(chan struct{}), reportErrors: reportErrors, refused: make(chan struct{}),
	}
	h.udp[port] = c
	return c, nil
}

// Refused reports whether the flow was answered with ICMP port unreachable
// before any response.
func (c *UDPConn) Refused() bool {
	select {
	case <-c.refused:
		return true
	default:
		return false
	}
}

// Received returns how many datagrams arrived.
func (c *UDPConn) Received() int64 { return c.received.Load() }

// ReadFrom implements net.PacketConn.
func (c *UDPConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case <-c.closed:
		return 0, nil, c.opError("read", ErrClosed)
	case <-c.read.wait():
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
	case <-c.read.wait():
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
	c.once.Do(func() {
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

// AddrPort returns the socket's address.
func (c *UDPConn) AddrPort() netip.AddrPort { return c.local }

// SetDeadline implements net.PacketConn; writes never block.
func (c *UDPConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (c *UDPConn) SetReadDeadline(t time.Time) error {
	c.read.set(t)
	return nil
}

// SetWriteDeadline implements net.PacketConn; writes never block.
func (c *UDPConn) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer satisfies quic-go, which asks for a large buffer; the buffer
// has a fixed size.
func (c *UDPConn) SetReadBuffer(int) error { return nil }

// SetWriteBuffer satisfies quic-go; there is no buffer, writes never block.
func (c *UDPConn) SetWriteBuffer(int) error { return nil }

func (c *UDPConn) receive(p *inet.Packet) {
	c.received.Add(1)
	select {
	case c.queue <- p:
	default:
		c.host.overflow.Add(1)
	}
}

func (c *UDPConn) unreachable() {
	if c.reportErrors && c.received.Load() == 0 {
		c.refuseOnce.Do(func() { close(c.refused) })
	}
}

func (c *UDPConn) opError(op string, err error) error {
	return &net.OpError{Op: op, Net: "udp", Addr: c.LocalAddr(), Err: err}
}
