package platform

import (
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

// Results of a flow that was reset.
var (
	// ErrReset is a reset by a daemon.
	ErrReset = errors.New("flow was reset by a daemon")
	// ErrServerReset is a reset by a server, which does not hold the flow.
	ErrServerReset = errors.New("flow was reset by a server")
	// ErrTimeout means that nothing came back in time.
	ErrTimeout = errors.New("no answer")
)

// Caller opens flows from one loopback address.
type Caller struct {
	conn    *net.UDPConn
	addr    netip.Addr
	port    uint16
	timeout time.Duration
}

// NewCaller returns a caller that gets packets at an address; the port is the
// one where daemons get theirs. A call fails when no answer comes in timeout.
func NewCaller(addr netip.AddrPort, timeout time.Duration) (*Caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrap(err, "listen for packets")
	}
	return &Caller{conn: conn, addr: addr.Addr(), port: 1024, timeout: timeout}, nil
}

// Close closes the socket.
func (c *Caller) Close() { _ = c.conn.Close() } // the test ends

// Router names the daemon that gets a packet.
type Router interface {
	Pick() netip.AddrPort
}

// FixedRouter is a Router that always names one daemon.
type FixedRouter netip.AddrPort

// Pick implements Router.
func (v FixedRouter) Pick() netip.AddrPort { return netip.AddrPort(v) }

// String returns the end of the flow at the caller.
func (f *Flow) String() string { return f.src.String() }

// Flow is one open flow.
type Flow struct {
	caller  *Caller
	src     netip.AddrPort
	service netip.AddrPort
	// Echo is what the last packet carried.
	Echo     uint32
	seq, ack uint32
}

// Open opens a flow through the daemons of a router.
func (c *Caller) Open(route Router, service netip.AddrPort) (*Flow, error) {
	c.port++
	f := &Flow{caller: c, src: netip.AddrPortFrom(c.addr, c.port), service: service, seq: 1000}
	p, err := f.exchange(route, Packet{Seq: f.seq, Flags: SYN})
	if err != nil {
		return nil, errors.Wrap(err, "open")
	}
	f.seq, f.ack = f.seq+1, p.Seq
	return f, f.send(route, Packet{Seq: f.seq, Ack: f.ack, Flags: ACK})
}

// Request sends a request and returns the response.
func (f *Flow) Request(route Router, data string) (string, error) {
	p, err := f.exchange(route, Packet{Seq: f.seq, Ack: f.ack, Flags: ACK, Data: []byte(data)})
	if err != nil {
		return "", errors.Wrap(err, "request")
	}
	f.seq += uint32(len(data))
	f.ack = p.Seq + uint32(len(p.Data))
	return string(p.Data), nil
}

// Close closes the flow.
func (f *Flow) Close(route Router) error {
	_, err := f.exchange(route, Packet{Seq: f.seq, Ack: f.ack, Flags: FIN | ACK})
	return err
}

func (f *Flow) send(route Router, p Packet) error {
	p.Src, p.Dst, p.Echo = f.src, f.service, f.Echo
	_, err := f.caller.conn.WriteToUDPAddrPort(p.Encode(), route.Pick())
	return err
}

// exchange sends a packet until its answer comes.
func (f *Flow) exchange(route Router, p Packet) (Packet, error) {
	buffer := make([]byte, 2048)
	deadline := time.Now().Add(f.caller.timeout)
	for copies := uint32(0); time.Now().Before(deadline); copies++ {
		if p.Flags&SYN != 0 {
			p.Ack = copies
		}
		if err := f.send(route, p); err != nil {
			return Packet{}, err
		}
		until := time.Now().Add(resendAfter)
		for {
			answer, ok, err := f.receive(buffer, until)
			if err != nil {
				return Packet{}, err
			}
			if !ok {
				break
			}
			if answer.answers(p) {
				return answer, nil
			}
		}
	}
	return Packet{}, ErrTimeout
}

// answers reports whether p is the answer to a packet, and not to a copy of an
// earlier one.
func (p Packet) answers(to Packet) bool {
	switch {
	case to.Flags&SYN != 0:
		return p.Flags&SYN != 0
	case to.Flags&FIN != 0:
		return p.Flags&FIN != 0
	}
	return p.Ack == to.Seq+uint32(len(to.Data)) && len(p.Data) > 0
}

// resendAfter is the time after which an end repeats a packet.
const resendAfter = 200 * time.Millisecond

// receive returns the next packet of the flow.
func (f *Flow) receive(buffer []byte, until time.Time) (Packet, bool, error) {
	for {
		if err := f.caller.conn.SetReadDeadline(until); err != nil {
			return Packet{}, false, err
		}
		n, _, err := f.caller.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return Packet{}, false, nil // the time has passed
		}
		p, err := DecodePacket(buffer[:n])
		if err != nil {
			return Packet{}, false, err
		}
		if p.Src != f.service || p.Dst != f.src {
			continue // of an earlier flow
		}
		if p.Flags&RST != 0 && p.ChecksumValid {
			return p, false, ErrServerReset
		}
		if p.Flags&RST != 0 {
			return p, false, ErrReset
		}
		if !p.ChecksumValid {
			return p, false, errors.New("packet was changed on its way")
		}
		f.Echo = p.Echo
		return p, true, nil
	}
}
