package carrier

import (
	"context"
	"net"
	"net/netip"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"knapweedshore.example/internal/metrics"
)

const (
	// BatchSize is the maximum number of packets that are read or written with one
	// system call.
	BatchSize = 64
	// MaxDatagram is the maximum length of a received datagram, in bytes: a jumbo
	// frame's payload of 9,000 bytes and room for the options of other senders. A
	// longer datagram is refused as truncated. A connection holds BatchSize buffers
	// of this size, 576 KiB.
	MaxDatagram = 9216
	// SocketBuffer is the size in bytes that is requested for the receive and the
	// send buffer of each socket: about 2,000 packets of 1,500 bytes, or 10 ms at
	// 200,000 such packets a second. The kernel also accounts for its own overhead in
	// these buffers, and limits the request to net.core.rmem_max and wmem_max (often
	// 208 KiB), which should be raised to this value on a balancer VM.
	SocketBuffer = 4 << 20
)

// RefusalCounter counts refused datagrams. ReadBatch calls it for each of them, so
// it must be quick and safe for concurrent use. *metrics.Registry implements it.
type RefusalCounter interface {
	Refused(reason metrics.Reason)
}

// Option configures the connections that Listen opens.
type Option func(*options)

type options struct {
	refusals RefusalCounter
}

// CountRefusals makes the connections count refused datagrams with r.
func CountRefusals(r RefusalCounter) Option {
	return func(o *options) { o.refusals = r }
}

type ignoreRefusals struct{}

func (ignoreRefusals) Refused(metrics.Reason) {}

// Listen opens one connection for each worker, all bound to addr. The kernel
// distributes the datagrams among them by their outer addresses and ports. Port 0
// selects a free port. Listen fails if another process or another call of Listen
// already uses the address.
func Listen(addr netip.AddrPort, workers int, opts ...Option) ([]Conn, error) {
	o := options{refusals: ignoreRefusals{}}
	for _, opt := range opts {
		opt(&o)
	}
	conns := make([]Conn, 0, workers)
	for range workers {
		c, err := listen(addr, len(conns) > 0, &o)
		if err != nil {
			closeAll(conns)
			return nil, err
		}
		conns = append(conns, c)
		addr = c.LocalAddr()
	}
	return conns, nil
}

func listen(addr netip.AddrPort, shared bool, o *options) (*udpConn, error) {
	sock, err := bind(addr, shared)
	if err != nil {
		return nil, err
	}
	c, err := newUDPConn(sock, o)
	if err != nil {
		_ = sock.Close() // the earlier error is reported
		return nil, err
	}
	return c, nil
}

func closeAll(conns []Conn) {
	for _, c := range conns {
		_ = c.Close() // an earlier error is reported
	}
}

// bind opens one socket. For the first one it sets SO_REUSEPORT only after
// binding: otherwise the kernel would let two daemons of the same user share a
// port, even one that the kernel selected, and split the packets between them.
func bind(addr netip.AddrPort, shared bool) (*net.UDPConn, error) {
	lc := net.ListenConfig{}
	if shared {
		lc.Control = func(_, _ string, c syscall.RawConn) error { return reusePort(c) }
	}
	p, err := lc.ListenPacket(context.Background(), network(addr), addr.String())
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %q", addr)
	}
	sock := p.(*net.UDPConn)
	if err := configure(sock); err != nil {
		_ = sock.Close() // the setup error is reported
		return nil, errors.Wrapf(err, "set up the socket on %q", addr)
	}
	return sock, nil
}

func configure(sock *net.UDPConn) error {
	raw, err := sock.SyscallConn()
	if err != nil {
		return err
	}
	if err := reusePort(raw); err != nil {
		return errors.Wrap(err, "SO_REUSEPORT")
	}
	if err := sock.SetReadBuffer(SocketBuffer); err != nil {
		return errors.Wrap(err, "set receive buffer size")
	}
	if err := sock.SetWriteBuffer(SocketBuffer); err != nil {
		return errors.Wrap(err, "set send buffer size")
	}
	return nil
}

func reusePort(c syscall.RawConn) error {
	var err error
	if cerr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	}); cerr != nil {
		return cerr
	}
	return err
}

// network returns the network of addr for net.ListenConfig. "udp6" also keeps an
// IPv6 socket from receiving IPv4 datagrams.
func network(addr netip.AddrPort) string {
	if addr.Addr().Is4() {
		return "udp4"
	}
	return "udp6"
}
