package peer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// memNet is an in-memory network. Goroutines that wait on its connections are durably
// blocked for synctest.
type memNet struct {
	mu        sync.Mutex
	listeners map[netip.AddrPort]*memListener
	conns     []*memConn
	// separated reports whether two hosts cannot reach each other.
	separated func(a, b netip.Addr) bool
}

func newMemNet() *memNet {
	return &memNet{
		listeners: make(map[netip.AddrPort]*memListener),
		separated: func(netip.Addr, netip.Addr) bool { return false },
	}
}

// partition separates hosts. Open connections between separated hosts stay silent
// even after the next call of partition; attempts to open new ones time out.
func (n *memNet) partition(separated func(a, b netip.Addr) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.separated = separated
	for _, c := range n.conns {
		if separated(c.local.Addr(), c.remote.Addr()) {
			c.out.goSilent()
		}
	}
}

// listen returns a listener at an address.
func (n *memNet) listen(a netip.AddrPort) *memListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memListener{net: n, address: a, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[a] = l
	return l
}

// dialFrom returns a DialFunc for the host with an address.
func (n *memNet) dialFrom(from netip.AddrPort) DialFunc {
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		n.mu.Lock()
		l, separated := n.listeners[to], n.separated(from.Addr(), to.Addr())
		n.mu.Unlock()
		if separated {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if l == nil {
			return nil, net.ErrClosed
		}
		toServer, toClient := newPipe(), newPipe()
		client := &memConn{in: toClient, out: toServer, local: from, remote: to}
		server := &memConn{in: toServer, out: toClient, local: to, remote: from}
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

// pipe is one direction of a connection. A silent pipe discards what is written.
type pipe struct {
	mu             sync.Mutex
	buffer         []byte
	closed, silent bool
	wake           chan struct{}
}

func newPipe() *pipe { return &pipe{wake: make(chan struct{}, 1)} }

func (p *pipe) update(f func()) {
	p.mu.Lock()
	f()
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *pipe) goSilent() { p.update(func() { p.silent = true }) }

type memConn struct {
	in, out       *pipe
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
	c.out.update(func() {
		switch {
		case c.out.closed:
			err = net.ErrClosed
		case !c.out.silent:
			c.out.buffer = append(c.out.buffer, p...)
		}
	})
	return len(p), err
}

// Close closes the connection. The peer reads io.EOF, unless the connection is silent.
func (c *memConn) Close() error {
	c.in.update(func() { c.in.closed = true })
	c.out.update(func() { c.out.closed = c.out.closed || !c.out.silent })
	return nil
}

func (c *memConn) LocalAddr() net.Addr              { return net.TCPAddrFromAddrPort(c.local) }
func (c *memConn) RemoteAddr() net.Addr             { return net.TCPAddrFromAddrPort(c.remote) }
func (c *memConn) SetDeadline(time.Time) error      { return nil }
func (c *memConn) SetReadDeadline(time.Time) error  { return nil }
func (c *memConn) SetWriteDeadline(time.Time) error { return nil }
