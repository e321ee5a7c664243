package platform

import (
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a flow.
var (
	// ErrReset means that a daemon has reset the flow.
	ErrReset = errors.New("flow was reset by a daemon")
	// ErrServerReset means that a server on which the flow is not open has reset it.
	ErrServerReset = errors.New("flow was reset by a server")
	// ErrTimeout means that no response arrived before the caller's timeout.
	ErrTimeout = errors.New("no response before the timeout")
)

// Caller opens flows from one loopback address.
type Caller struct {
	conn    *net.UDPConn
	addr    netip.Addr
	port    uint16
	timeout time.Duration
}

// NewCaller returns a caller that receives packets on addr, whose port is the one
// to which servers and daemons send. A packet of a flow is retransmitted until a
// response arrives or timeout has passed.
func NewCaller(addr netip.AddrPort, timeout time.Duration) (*Caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrap(err, "listen for packets")
	}
	return &Caller{conn: conn, addr: addr.Addr(), port: 1024, timeout: timeout}, nil
}

// Close closes the socket.
func (c *Caller) Close() { _ = c.conn.Close() } // the socket is not used any more

// Router decides which daemon receives a packet.
type Router interface {
	// Pick returns the data address of a daemon.
	Pick() netip.AddrPort
}

// FixedRouter is a Router that always picks the daemon at one address.
type FixedRouter netip.AddrPort

// Pick implements Router.
func (r FixedRouter) Pick() netip.AddrPort { return netip.AddrPort(r) }

// String returns the caller's address and port of the flow.
func (f *Flow) String() string { return f.src.String() }

// Flow is one open flow.
type Flow struct {
	caller  *Caller
	src     netip.AddrPort
	service netip.AddrPort
	// Echo is the cookie of the last packet received, which the next one repeats.
	Echo     uint32
	seq, ack uint32
	// accepted holds the initial sequence number of each server that has accepted the
	// flow. The flow is open at the first one.
	accepted []uint32
}

// Accepted returns the number of servers whose answers to opening packets the caller
// has received. With more than one, Echo may be the cookie of a server at which the
// flow is not open.
func (f *Flow) Accepted() int { return len(f.accepted) }

// Open opens a flow to a service through the daemons that a router picks.
func (c *Caller) Open(router Router, service netip.AddrPort) (*Flow, error) {
	c.port++
	f := &Flow{caller: c, src: netip.AddrPortFrom(c.addr, c.port), service: service, seq: 1000}
	p, err := f.exchange(router, Packet{Seq: f.seq, Flags: SYN})
	if err != nil {
		return nil, errors.Wrap(err, "open")
	}
	f.seq, f.ack = f.seq+1, p.Seq
	return f, f.send(router, Packet{Seq: f.seq, Ack: f.ack, Flags: ACK})
}

// Request sends a request and returns the response.
func (f *Flow) Request(router Router, data string) (string, error) {
	p, err := f.exchange(router, Packet{Seq: f.seq, Ack: f.ack, Flags: ACK, Data: []byte(data)})
	if err != nil {
		return "", errors.Wrap(err, "request")
	}
	f.seq += uint32(len(data))
	f.ack = p.Seq + uint32(len(p.Data))
	return string(p.Data), nil
}

// Close closes the flow.
func (f *Flow) Close(router Router) error {
	_, err := f.exchange(router, Packet{Seq: f.seq, Ack: f.ack, Flags: FIN | ACK})
	return err
}

func (f *Flow) send(router Router, p Packet) error {
	p.Src, p.Dst, p.Echo = f.src, f.service, f.Echo
	_, err := f.caller.conn.WriteToUDPAddrPort(p.Encode(), router.Pick())
	return err
}

// exchange sends a packet, retransmitting it as needed, and returns the reply.
func (f *Flow) exchange(router Router, p Packet) (Packet, error) {
	buffer := make([]byte, 2048)
	deadline := time.Now().Add(f.caller.timeout)
	for retransmits := uint32(0); time.Now().Before(deadline); retransmits++ {
		if p.Flags&SYN != 0 {
			p.Ack = retransmits // in a SYN, Ack counts the retransmissions
		}
		if err := f.send(router, p); err != nil {
			return Packet{}, err
		}
		until := time.Now().Add(retransmitInterval)
		for {
			reply, ok, err := f.receive(buffer, until)
			if err != nil {
				return Packet{}, err
			}
			if !ok {
				break
			}
			if reply.isReplyTo(p) {
				return reply, nil
			}
		}
	}
	return Packet{}, ErrTimeout
}

// isReplyTo reports whether p is the reply to a sent packet, and not to a retransmission
// of an earlier one.
func (p Packet) isReplyTo(sent Packet) bool {
	switch {
	case sent.Flags&SYN != 0:
		return p.Flags&SYN != 0
	case sent.Flags&FIN != 0:
		return p.Flags&FIN != 0
	}
	return p.Ack == sent.Seq+uint32(len(sent.Data)) && len(p.Data) > 0
}

// retransmitInterval is the time without a reply after which a packet is sent again.
const retransmitInterval = 200 * time.Millisecond

// receive returns the next packet of the flow. It reports false if none arrives
// before until.
func (f *Flow) receive(buffer []byte, until time.Time) (Packet, bool, error) {
	for {
		if err := f.caller.conn.SetReadDeadline(until); err != nil {
			return Packet{}, false, err
		}
		n, _, err := f.caller.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return Packet{}, false, nil // the deadline has passed
		}
		p, err := DecodePacket(buffer[:n])
		if err != nil {
			return Packet{}, false, err
		}
		if p.Src != f.service || p.Dst != f.src {
			continue // packet of an earlier flow
		}
		if p.Flags&RST != 0 && p.ChecksumValid {
			return p, false, ErrServerReset
		}
		if p.Flags&RST != 0 {
			return p, false, ErrReset
		}
		if !p.ChecksumValid {
			return p, false, errors.New("packet has a wrong checksum")
		}
		f.Echo = p.Echo
		if p.Flags&SYN != 0 && !slices.Contains(f.accepted, p.Seq) {
			f.accepted = append(f.accepted, p.Seq)
		}
		return p, true, nil
	}
}
