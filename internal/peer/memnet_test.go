package peer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// memNet is a network in memory whose connections synctest can wait for.
type memNet struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*memListener
	conns     []*memConn
	// cut tells which hosts cannot reach each other.
	cut func(a, b netip.Addr) bool
}

func newMemNet() *memNet {
	return &memNet{
		listeners: make(map[netip.AddrPort]*memListener),
		cut:       func(netip.Addr, netip.Addr) bool { return false },
	}
}

// partition separates hosts: connections across it go silent for good, and
// new ones are not answered.
func (n *memNet) partition(cut func(a, b netip.Addr) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
	for _, c := range n.conns {
		if cut(c.local.Addr(), c.remote.Addr()) {
			c.out.silence()
		}
	}
}

func (n *memNet) listen(a netip.AddrPort) *memListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memListener{net: n, address: a, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[a] = l
	return l
}

func (n *memNet) dialFrom(from netip.AddrPort) DialFunc {
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		n.mu.Lock()
		l, cut := n.listeners[to], n.cut(from.Addr(), to.Addr())
		n.mu.Unlock()
		if cut {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if l == nil {
			return nil, net.ErrClosed
		}
		there, back := newHalf(), newHalf()
		client := &memConn{in: back, out: there, local: from, remote: to}
		server := &memConn{in: there, out: back, local: to, remote: from}
		select {
		case l.accepted <- server:
		case <-l.closed:
			return nil, net.ErrClosed
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns = append(n.conns, client, server)
		return client, nil
	}
}

type memListener struct {
	net      *memNet
	address  netip.AddrPort
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *memListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }

// half is one direction of a connection.
type half struct {
	mu             sync.Mutex
	buffer         []byte
	closed, silent bool
	wake           chan struct{}
}

func newHalf() *half { return &half{wake: make(chan struct{}, 1)} }

func (h *half) change(f func()) {
	h.mu.Lock()
	f()
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

func (h *half) silence() { h.change(func() { h.silent = true }) }

type memConn struct {
	in, out       *half
	local, remote netip.AddrPort
}

func (c *memConn) Read(p []byte) (int, error) {
	for {
		c.in.mu.Lock()
		count, closed := copy(p, c.in.buffer), c.in.closed
		c.in.buffer = c.in.buffer[count:]
		c.in.mu.Unlock()
		switch {
		case count > 0:
			return count, nil
		case closed:
			return 0, io.EOF
		}
		<-c.in.wake
	}
}

func (c *memConn) Write(p []byte) (int, error) {
	var err error
	c.out.change(func() {
		switch {
		case c.out.closed:
			err = net.ErrClosed
		case !c.out.silent:
			c.out.buffer = append(c.out.buffer, p...)
		}
	})
	return len(p), err
}

// Close is seen by the peer unless the connection was cut.
func (c *memConn) Close() error {
	c.in.change(func() { c.in.closed = true })
	c.out.change(func() { c.out.closed = c.out.closed || !c.out.silent })
	return nil
}

func (c *memConn) LocalAddr() net.Addr              { return net.TCPAddrFromAddrPort(c.local) }
func (c *memConn) RemoteAddr() net.Addr             { return net.TCPAddrFromAddrPort(c.remote) }
func (c *memConn) SetDeadline(time.Time) error      { return nil }
func (c *memConn) SetReadDeadline(time.Time) error  { return nil }
func (c *memConn) SetWriteDeadline(time.Time) error { return nil }
