package lab

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Machine is a machine of callers in a zone. All of its flows share one socket.
type Machine struct {
	Zone  string
	world *World
	addr  netip.Addr
	conn  *net.UDPConn

	mu    sync.Mutex
	flows map[uint16]*Flow
	port  uint16
}

// Logf writes a line to the record.
func (m *Machine) Logf(format string, args ...any) { m.world.Logf(format, args...) }

// Counts counts what callers have seen.
type Counts struct {
	Flows, Opened, NotOpened, Contested, Sent, Answered, Resets, Timeouts, Wrong atomic.Int64
}

// NewMachine starts a machine of callers.
func NewMachine(w *World, group, number byte, zone string) (*Machine, error) {
	addr := w.Addr(group, number, dataPort)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20)
	m := &Machine{Zone: zone, world: w, addr: addr.Addr(), conn: conn, flows: map[uint16]*Flow{}, port: uint16(10000 + rand.IntN(1000))}
	go m.read()
	return m, nil
}

func (m *Machine) read() {
	b := make([]byte, 2048)
	for {
		n, _, err := m.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, err := Decode(b[:n])
		if err != nil {
			continue
		}
		m.mu.Lock()
		f := m.flows[p.Dst.Port()]
		m.mu.Unlock()
		if f != nil && p.Src == f.key.Service {
			select {
			case f.in <- p:
			default:
			}
		}
	}
}

// Flow is a caller's flow.
type Flow struct {
	m        *Machine
	key      FlowKey
	in       chan Packet
	echo     uint32
	seq, ack uint32
	synAck   uint32
	accepted map[uint32]bool
	counts   *Counts
	// Closing is set once the server closes the flow.
	Closing bool
}

// NewFlow returns a flow from a new port.
func (m *Machine) NewFlow(service netip.AddrPort, c *Counts) *Flow {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.port++
	if m.port < 10000 {
		m.port = 10000
	}
	f := &Flow{
		m: m, key: FlowKey{netip.AddrPortFrom(m.addr, m.port), service}, in: make(chan Packet, 64), seq: rand.Uint32(), counts: c,
		accepted: map[uint32]bool{},
	}
	m.flows[m.port] = f
	c.Flows.Add(1)
	return f
}

// String returns the flow's two ends.
func (f *Flow) String() string { return f.key.Caller.String() + " to " + f.key.Service.String() }

// Done removes the flow.
func (f *Flow) Done() {
	f.m.mu.Lock()
	delete(f.m.flows, f.key.Caller.Port())
	f.m.mu.Unlock()
	f.m.world.Forget(f.key)
}

func (f *Flow) send(p Packet) {
	p.Src, p.Dst, p.Echo = f.key.Caller, f.key.Service, f.echo
	d := f.m.world.Pick(f.m.Zone, f.key)
	if f.m.world.lose() {
		f.m.world.trace(f.key, "caller: %s to %s lost", p, d.Name)
		return
	}
	f.m.world.trace(f.key, "caller: %s to %s", p, d.Name)
	_, _ = f.m.conn.WriteToUDPAddrPort(p.Encode(), d.Data)
}

// receive waits for the next packet. It reports false at the deadline, and an error for a
// reset.
func (f *Flow) receive(until time.Time) (Packet, bool, error) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case p := <-f.in:
		if p.Flags&RST != 0 {
			f.m.world.resetSeen(f.key, p.Valid, p.Seq)
			f.counts.Resets.Add(1)
			return p, false, fmt.Errorf("reset")
		}
		if !p.Valid {
			f.counts.Wrong.Add(1)
			return p, false, fmt.Errorf("forged packet")
		}
		f.echo = p.Echo
		if p.Flags&SYN != 0 {
			if !f.accepted[p.Seq] {
				f.accepted[p.Seq] = true
				if len(f.accepted) == 2 {
					f.counts.Contested.Add(1)
				}
			}
			f.m.world.trace(f.key, "caller gets %s", p)
			if f.synAck == p.Seq && f.ack != 0 { // its acknowledgement was lost
				f.send(Packet{Seq: f.seq, Ack: f.ack, Flags: ACK})
			}
		}
		return p, true, nil
	case <-timer.C:
		return Packet{}, false, nil
	}
}

// Open opens the flow.
func (f *Flow) Open() bool {
	began := time.Now()
	for n, at := range []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond} {
		end := []time.Duration{200 * time.Millisecond, 600 * time.Millisecond, 1400 * time.Millisecond}[n]
		time.Sleep(time.Until(began.Add(at)))
		f.send(Packet{Seq: f.seq, Ack: uint32(n), Flags: SYN})
		for {
			p, ok, err := f.receive(began.Add(end))
			if err != nil {
				f.counts.NotOpened.Add(1)
				return false
			}
			if !ok {
				break
			}
			if p.Flags&SYN != 0 {
				f.seq++
				f.synAck, f.ack = p.Seq, p.Seq+1
				f.send(Packet{Seq: f.seq, Ack: f.ack, Flags: ACK})
				f.counts.Opened.Add(1)
				return true
			}
		}
	}
	f.counts.NotOpened.Add(1)
	return false
}

// Idle waits and answers what comes meanwhile. It reports false after a reset.
func (f *Flow) Idle(d time.Duration) bool {
	for until := time.Now().Add(d); ; {
		_, ok, err := f.receive(until)
		if err != nil {
			return false
		}
		if !ok && !time.Now().Before(until) {
			return true
		}
	}
}

// Request sends a request with a body of a size and returns the response's status, server and
// request; empty if there is none in the time.
func (f *Flow) Request(id string, body int, timeout time.Duration) string {
	payload := request(id, body)
	f.counts.Sent.Add(1)
	deadline := time.Now().Add(timeout)
	sent, end := false, f.seq+uint32(len(payload))
	pause := firstRetransmit
	var again time.Time
	acked := false
	for time.Now().Before(deadline) {
		if !sent || !acked && !time.Now().Before(again) {
			f.send(Packet{Seq: f.seq, Ack: f.ack, Flags: ACK, Data: payload})
			if sent {
				pause = min(maxRetransmit, 2*pause)
			}
			sent, again = true, time.Now().Add(pause)
		}
		wake := deadline
		if !acked && again.Before(wake) {
			wake = again
		}
		p, ok, err := f.receive(wake)
		if err != nil {
			return ""
		}
		if !ok || p.Flags&SYN != 0 {
			continue
		}
		acked = acked || p.Ack == end
		if len(p.Data) > 0 && p.Seq == f.ack && p.Ack == end {
			f.seq, f.ack = end, f.ack+uint32(len(p.Data))
			f.send(Packet{Seq: f.seq, Ack: f.ack, Flags: ACK})
			f.counts.Answered.Add(1)
			f.Closing = p.Flags&FIN != 0
			if !strings.HasSuffix(header(p.Data, "Response-Signature"), " "+id) {
				f.counts.Wrong.Add(1)
			}
			return summary(p.Data)
		}
		if len(p.Data) > 0 { // an earlier response once more
			f.send(Packet{Seq: f.seq, Ack: f.ack, Flags: ACK})
		}
	}
	f.counts.Timeouts.Add(1)
	return ""
}

// Close closes the flow.
func (f *Flow) Close() {
	for range 3 {
		f.send(Packet{Seq: f.seq, Ack: f.ack, Flags: FIN | ACK})
		until := time.Now().Add(firstRetransmit)
		for {
			p, ok, err := f.receive(until)
			if err != nil || ok && p.Flags&FIN != 0 {
				return
			}
			if !ok {
				break
			}
		}
	}
}
