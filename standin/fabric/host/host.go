// Package host is a virtual host on the fabric: UDP sockets on which quic-go
// runs, and the little TCP that scripted flows need. Like a real host it drops
// damaged packets and answers packets for closed ports.
package host

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"

	"knapweedshore.example/standin/fabric"
	"knapweedshore.example/standin/fabric/inet"
)

// Range of the ports that a host assigns itself.
const (
	firstEphemeral = 10_000
	lastEphemeral  = 65_535
)

// MTU is the largest IP packet that a host sends. It leaves room for the
// carrier's headers on an underlay of 1,500 bytes.
const MTU = 1400

// Network is what a host needs of the fabric.
type Network interface {
	Attach(h fabric.Host) error
	Detach(addr netip.Addr)
	Send(from netip.Addr, packet []byte)
}

// Counts tell what a host dropped.
type Counts struct {
	// Damaged counts packets with a wrong length or checksum.
	Damaged int64
	// Unknown counts packets for a closed port or an unknown connection.
	Unknown int64
	// Overflow counts datagrams that found a full socket buffer.
	Overflow int64
}

// Host is one caller or backend server machine with one address.
type Host struct {
	network Network
	addr    netip.Addr
	id      atomic.Uint32
	silent  atomic.Bool

	damaged, unknown, overflow atomic.Int64

	mu        sync.Mutex
	ephemeral uint16
	udp       map[uint16]*UDPConn
	listeners map[uint16]*TCPListener
	tcp       map[tcpKey]*TCPConn
}

type tcpKey struct {
	local  uint16
	remote netip.AddrPort
}

// New attaches a host in a zone to the network.
func New(network Network, addr netip.Addr, zone string) (*Host, error) {
	h := &Host{
		network: network, addr: addr, ephemeral: firstEphemeral,
		udp: make(map[uint16]*UDPConn), listeners: make(map[uint16]*TCPListener), tcp: make(map[tcpKey]*TCPConn),
	}
	if err := network.Attach(fabric.Host{Addr: addr, Zone: zone, Deliver: h.deliver}); err != nil {
		return nil, errors.Wrap(err, "create host")
	}
	return h, nil
}

// Addr returns the host's address.
func (h *Host) Addr() netip.Addr { return h.addr }

// SetSilent makes the host drop all packets in both directions, as a frozen
// machine does, or ends this.
func (h *Host) SetSilent(silent bool) { h.silent.Store(silent) }

// Close detaches the host and closes its sockets.
func (h *Host) Close() {
	h.network.Detach(h.addr)
	h.silent.Store(true)
	h.CloseSockets()
}

// CloseSockets closes all sockets at once without a word to their peers, as
// the end of a server process does. The host then answers with resets and
// port-unreachable messages.
func (h *Host) CloseSockets() {
	h.mu.Lock()
	udp, listeners, conns := h.udp, h.listeners, h.tcp
	h.udp, h.listeners, h.tcp = make(map[uint16]*UDPConn), make(map[uint16]*TCPListener), make(map[tcpKey]*TCPConn)
	h.mu.Unlock()
	for _, c := range udp {
		_ = c.Close()
	}
	for _, l := range listeners {
		_ = l.Close()
	}
	for _, c := range conns {
		c.abandon(ErrClosed)
	}
}

// Counts returns what the host dropped so far.
func (h *Host) Counts() Counts {
	return Counts{Damaged: h.damaged.Load(), Unknown: h.unknown.Load(), Overflow: h.overflow.Load()}
}

func (h *Host) deliver(packet []byte) {
	if h.silent.Load() {
		return
	}
	p, err := inet.Parse(packet)
	if err != nil {
		h.damaged.Add(1)
		return
	}
	switch p.Protocol {
	case inet.UDP:
		h.deliverUDP(p, packet)
	case inet.TCP:
		h.deliverTCP(p)
	default:
		h.deliverICMP(p)
	}
}

func (h *Host) deliverUDP(p *inet.Packet, packet []byte) {
	h.mu.Lock()
	c, ok := h.udp[p.Dst.Port()]
	h.mu.Unlock()
	if ok {
		c.receive(p)
		return
	}
	h.unknown.Add(1)
	if reply, err := inet.BuildUnreachable(p, packet); err == nil {
		h.sendRaw(reply)
	}
}

func (h *Host) deliverICMP(p *inet.Packet) {
	if p.Unreachable == nil || p.Unreachable.Protocol != inet.UDP {
		return
	}
	h.mu.Lock()
	c, ok := h.udp[p.Unreachable.Src.Port()]
	h.mu.Unlock()
	if ok {
		c.unreachable()
	}
}

// send completes and sends a packet of this host.
func (h *Host) send(p *inet.Packet) error {
	if p.Src.Addr().Is4() {
		p.ID = uint16(h.id.Add(1))
	}
	b, err := inet.Build(p)
	if err != nil {
		return errors.Wrapf(err, "send from %q to %q", p.Src, p.Dst)
	}
	if len(b) > MTU {
		return errors.Errorf("send from %q to %q: packet of %d bytes exceeds the MTU of %d", p.Src, p.Dst, len(b), MTU)
	}
	h.sendRaw(b)
	return nil
}

func (h *Host) sendRaw(packet []byte) {
	if !h.silent.Load() {
		h.network.Send(h.addr, packet)
	}
}

// nextPort returns the next ephemeral port that is not used. Ports are used
// again only after all others. The caller holds h.mu.
func (h *Host) nextPort(used func(port uint16) bool) (uint16, error) {
	for range lastEphemeral - firstEphemeral + 1 {
		port := h.ephemeral
		if h.ephemeral == lastEphemeral {
			h.ephemeral = firstEphemeral
		} else {
			h.ephemeral++
		}
		if !used(port) {
			return port, nil
		}
	}
	return 0, errors.Errorf("host %q: no free port", h.addr)
}
