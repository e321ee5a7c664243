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
	// localLatency is the one-way latency inside a zone.
	localLatency = 100 * time.Microsecond
)

// host is one VM as the network sees it.
type host struct {
	zone    string
	address netip.AddrPort
	paused  gate
}

// network connects hosts in memory.
type network struct {
	mu        sync.Mutex
	hosts     map[netip.AddrPort]*host
	listeners map[netip.AddrPort]*listener
	conns     []*conn
	crashed   map[*host]bool
	cuts      map[[2]string]bool
}

func newNetwork() *network {
	return &network{
		hosts:     make(map[netip.AddrPort]*host),
		listeners: make(map[netip.AddrPort]*listener),
		crashed:   make(map[*host]bool),
		cuts:      make(map[[2]string]bool),
	}
}

func latency(a, b *host) time.Duration {
	if a.zone == b.zone {
		return localLatency
	}
	return zoneLatency
}

// severed reports whether no packet passes between two hosts; n.mu is held.
func (n *network) severed(a, b *host) bool {
	return n.crashed[a] || n.crashed[b] || n.cuts[[2]string{a.zone, b.zone}] || n.cuts[[2]string{b.zone, a.zone}]
}

// change alters cuts or crashes. Connections across them go silent for good.
func (n *network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	kept := n.conns[:0]
	for _, c := range n.conns {
		if n.severed(c.local, c.remote) {
			c.out.change(func() { c.out.silent = true })
		} else if !c.in.isClosed() {
			kept = append(kept, c)
		}
	}
	n.conns = kept
}

func (n *network) listen(h *host) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{host: h, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[h.address] = l
	n.hosts[h.address] = h
	return l
}

func (n *network) dialFrom(from *host) peer.DialFunc {
	return func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		from.paused.pass()
		n.mu.Lock()
		to, l := n.hosts[address], n.listeners[address]
		severed := to != nil && n.severed(from, to)
		n.mu.Unlock()
		if severed {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if to == nil {
			return nil, net.ErrClosed
		}
		time.Sleep(2 * latency(from, to))
		return n.join(ctx, from, to, l)
	}
}

func (n *network) join(ctx context.Context, from, to *host, l *listener) (net.Conn, error) {
	there, back := newHalf(latency(from, to)), newHalf(latency(from, to))
	client := &conn{in: back, out: there, local: from, remote: to}
	server := &conn{in: there, out: back, local: to, remote: from}
	select {
	case l.accepted <- server:
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.change(func() { n.conns = append(n.conns, client, server) })
	return client, nil
}

type listener struct {
	host     *host
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	l.host.paused.pass()
	select {
	case c := <-l.accepted:
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
