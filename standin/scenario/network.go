package scenario

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"knapweedshore.example/internal/peer"
)

const (
	// zoneLatency is the one-way latency between zones (design, section 1.1).
	zoneLatency = time.Millisecond
	// localLatency is the one-way latency within a zone.
	localLatency = 100 * time.Microsecond
)

// host is a VM's attachment to the network. Its gate is closed while the VM is
// frozen.
type host struct {
	zone    string
	address netip.AddrPort
	gate    gate
}

// network is an in-memory network between hosts.
type network struct {
	mu        sync.Mutex
	hosts     map[netip.AddrPort]*host
	listeners map[netip.AddrPort]*listener
	conns     []*conn
	crashed   map[*host]bool
	cuts      map[[2]string]bool // pairs of zones
}

func newNetwork() *network {
	return &network{
		hosts:     make(map[netip.AddrPort]*host),
		listeners: make(map[netip.AddrPort]*listener),
		crashed:   make(map[*host]bool),
		cuts:      make(map[[2]string]bool),
	}
}

// latency returns the one-way latency between two hosts.
func latency(a, b *host) time.Duration {
	if a.zone == b.zone {
		return localLatency
	}
	return zoneLatency
}

// disconnected reports whether two hosts cannot reach each other. n.mu must be
// held.
func (n *network) disconnected(a, b *host) bool {
	return n.crashed[a] || n.crashed[b] || n.cuts[[2]string{a.zone, b.zone}] || n.cuts[[2]string{b.zone, a.zone}]
}

// update changes cuts or crashes. Connections between hosts that are now
// disconnected stay silent, even after the cut is healed.
func (n *network) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	kept := n.conns[:0]
	for _, c := range n.conns {
		if n.disconnected(c.local, c.remote) {
			c.out.update(func() { c.out.silent = true })
		} else if !c.in.isClosed() {
			kept = append(kept, c)
		}
	}
	n.conns = kept
}

// listen returns a listener at the address of a host.
func (n *network) listen(h *host) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{host: h, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[h.address] = l
	n.hosts[h.address] = h
	return l
}

// dialFrom returns a dialer for a host. A dial to a disconnected host blocks
// until its context ends; one to an unknown address fails at once.
func (n *network) dialFrom(from *host) peer.DialFunc {
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		from.gate.wait()
		n.mu.Lock()
		to, l := n.hosts[address], n.listeners[address]
		unreachable := to != nil && n.disconnected(from, to)
		n.mu.Unlock()
		if unreachable {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if to == nil {
			return nil, net.ErrClosed
		}
		time.Sleep(2 * latency(from, to))
		return n.connect(ctx, from, to, l)
	}
}

// connect hands the server's end of a new connection to the listener and returns
// the client's end.
func (n *network) connect(ctx context.Context, from, to *host, l *listener) (net.Conn, error) {
	toServer, toClient := newStream(latency(from, to)), newStream(latency(from, to))
	client := &conn{in: toClient, out: toServer, local: from, remote: to}
	server := &conn{in: toServer, out: toClient, local: to, remote: from}
	select {
	case l.incoming <- server:
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.update(func() { n.conns = append(n.conns, client, server) })
	return client, nil
}

// listener accepts the connections to a host.
type listener struct {
	host     *host
	incoming chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	l.host.gate.wait()
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.host.address) }
