// Package host implements a virtual host on the fabric. It offers UDP sockets that
// quic-go can use, and a minimal TCP. Like a real host it drops packets with wrong
// checksums, and answers packets for closed ports with a reset or an ICMP error.
package host

import (
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"

	"knapweedshore.example/standin/fabric"
	"knapweedshore.example/standin/fabric/inet"
)

// Range of the ephemeral ports.
const (
	minEphemeralPort = 10_000
	maxEphemeralPort = 65_535
)

// MTU is the size in bytes of the largest IP packet that a host sends. It leaves
// room for the carrier's headers on an underlay with an MTU of 1,500 bytes.
const MTU = 1400

// Network is the part of fabric.Fabric that a Host uses.
type Network interface {
	Attach(h fabric.Host) error
	Detach(addr netip.Addr)
	Send(from netip.Addr, packet []byte)
}

// Counts are the totals of the packets that a host dropped.
type Counts struct {
	// Damaged counts packets that could not be parsed, for example because of a
	// wrong length or checksum.
	Damaged int64
	// Unknown counts packets for a closed port or an unknown connection.
	Unknown int64
	// Overflow counts datagrams for a UDP socket whose receive queue was full.
	Overflow int64
}

// Host is the machine of a caller or a backend server. It has one address.
type Host struct {
	network Network
	addr    netip.Addr
	lastID  atomic.Uint32
	silent  atomic.Bool

	damaged, unknown, overflow atomic.Int64

	mu            sync.Mutex
	nextEphemeral uint16
	udp           map[uint16]*UDPConn
	listeners     map[uint16]*TCPListener
	tcp           map[tcpKey]*TCPConn
}

// tcpKey identifies a TCP connection of a host.
type tcpKey struct {
	local  uint16 // port
	remote netip.AddrPort
}

// New returns a host that is attached to the network in the given zone.
func New(network Network, addr netip.Addr, zone string) (*Host, error) {
	h := &Host{
		network: network, addr: addr, nextEphemeral: minEphemeralPort,
		udp: make(map[uint16]*UDPConn), listeners: make(map[uint16]*TCPListener), tcp: make(map[tcpKey]*TCPConn),
	}
	if err := network.Attach(fabric.Host{Addr: addr, Zone: zone, Deliver: h.deliver}); err != nil {
		return nil, errors.Wrap(err, "create host")
	}
	return h, nil
}

// Addr returns the host's address.
func (h *Host) Addr() netip.Addr { return h.addr }

// SetSilent sets whether the host drops all packets in both directions, like a
// frozen machine.
func (h *Host) SetSilent(silent bool) { h.silent.Store(silent) }

// Close detaches the host and closes its sockets.
func (h *Host) Close() {
	h.network.Detach(h.addr)
	h.silent.Store(true)
	h.CloseSockets()
}

// CloseSockets closes all sockets without sending a packet, as if the server
// process had ended. The host then answers packets for them with resets and
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
		c.abort(ErrClosed)
	}
}

// Counts returns the totals so far.
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
		c.handleUnreachable()
	}
}

// send encodes and sends a packet. It sets the identification of IPv4 packets.
func (h *Host) send(p *inet.Packet) error {
	if p.Src.Addr().Is4() {
		p.ID = uint16(h.lastID.Add(1))
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

// allocatePort returns the next unused ephemeral port. It cycles through the
// range, so that a port is reused as late as possible. The caller holds h.mu.
func (h *Host) allocatePort(used func(port uint16) bool) (uint16, error) {
	for range maxEphemeralPort - minEphemeralPort + 1 {
		port := h.nextEphemeral
		if h.nextEphemeral == maxEphemeralPort {
			h.nextEphemeral = minEphemeralPort
		} else {
			h.nextEphemeral++
		}
		if !used(port) {
			return port, nil
		}
	}
	return 0, errors.Errorf("host %q: no free port", h.addr)
}
