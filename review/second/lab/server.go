package lab

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Retransmission of packets: after 200 ms, with doubling pauses of up to 1.6 s.
const (
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = 1600 * time.Millisecond
	serverRetries   = 8
	// endedTTL is how long a server remembers a flow that has ended.
	endedTTL = 5 * time.Second
)

// Server is a backend server.
type Server struct {
	ID, Pool, Zone string
	Number         uint64
	Born           int64
	Addr           netip.AddrPort

	world *World
	conn  *net.UDPConn
	// health answers health probes.
	health net.Listener

	mu     sync.Mutex
	work   time.Duration
	flows  map[FlowKey]*serverFlow
	seq    uint64
	closed bool
	// draining is set while the server closes each flow after its next response.
	draining bool
	// busy is the number of requests in progress, and queue holds those that wait for a slot.
	busy  int
	queue []func()
	// Run counts the runs of each request. Forged and Foreign count packets that no caller wrote
	// so, and those with the number of another server.
	Run             map[string]int
	Forged, Foreign int
}

// FlowKey identifies a flow.
type FlowKey struct{ Caller, Service netip.AddrPort }

type serverFlow struct {
	seq, next, echo uint32
	open, ended     bool
	tries           int
	timer           *time.Timer
	// response is the last response, unacknowledged until its end is acknowledged.
	response []byte
	respSeq  uint32
	acked    bool
}

// NewServer starts a server.
func NewServer(w *World, addr netip.AddrPort, number uint64, pool, zone string, work time.Duration) (*Server, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20)
	s := &Server{
		ID: fmt.Sprintf("i-%08x", number), Number: number, Pool: pool, Zone: zone, Born: time.Now().UnixMilli(), Addr: addr,
		world: w, conn: conn, work: work, flows: map[FlowKey]*serverFlow{}, Run: map[string]int{},
	}
	if s.health, err = net.Listen("tcp4", addr.String()); err != nil {
		return nil, err
	}
	go func() {
		_ = http.Serve(s.health, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {}))
	}()
	go s.read()
	return s, nil
}

// Register writes the server's registration.
func (s *Server) Register(state string) {
	s.mu.Lock()
	s.seq++
	s.draining = state == "draining"
	v := map[string]any{
		"service": s.Pool, "address": s.Addr.String(), "zone": s.Zone, "version": "v1", "slots": 2, "state": state,
		"cold_remaining_ms": 0, "seq": s.seq, "born": s.Born,
	}
	s.mu.Unlock()
	s.world.Store.Put("servers/"+s.ID, v)
}

// Close ends the server.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	for _, f := range s.flows {
		if f.timer != nil {
			f.timer.Stop()
		}
	}
	s.mu.Unlock()
	_ = s.conn.Close()
	_ = s.health.Close()
}

func (s *Server) read() {
	b := make([]byte, 2048)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < envelopeLen || s.world.lose() {
			continue
		}
		number := binary.BigEndian.Uint64(b)
		p, err := Decode(b[envelopeLen:n])
		s.mu.Lock()
		switch {
		case err != nil || !p.Valid:
			s.Forged++
		case number != 0 && number != s.Number:
			s.Foreign++
		default:
			s.handle(p)
		}
		s.mu.Unlock()
	}
}

// handle processes a packet. s.mu is held.
func (s *Server) handle(p Packet) {
	key := FlowKey{p.Src, p.Dst}
	f := s.flows[key]
	s.world.arrived(s, key, p)
	if f != nil {
		f.echo = p.Echo
	}
	switch {
	case p.Flags&RST != 0:
		if f != nil && f.open {
			s.forget(key, f)
		}
	case p.Flags&SYN != 0 && f == nil:
		f = &serverFlow{seq: rand.Uint32(), next: p.Seq + 1, echo: p.Echo}
		s.flows[key] = f
		s.sendSynAck(key, f)
	case p.Flags&SYN != 0:
		if !f.open {
			s.send(key, f, Packet{Seq: f.seq, Ack: f.next, Flags: SYN | ACK})
		}
	case f == nil:
		s.reset(key, p)
	case f.ended:
		if len(p.Data) > 0 {
			s.reset(key, p)
		} else if p.Flags&FIN != 0 {
			s.send(key, f, Packet{Seq: f.respSeq, Ack: f.next, Flags: ACK})
		}
	case !f.open && p.Ack != f.seq+1:
		s.reset(key, p) // the flow is not open here
	default:
		s.handleOpen(key, f, p)
	}
}

func (s *Server) handleOpen(key FlowKey, f *serverFlow, p Packet) {
	if !f.open {
		f.open = true
		f.respSeq, f.acked = f.seq+1, true
		if f.timer != nil {
			f.timer.Stop()
		}
		s.world.opened(s, key)
	}
	if !f.acked && int32(p.Ack-(f.respSeq+uint32(len(f.response)))) >= 0 {
		f.acked = true
		f.respSeq += uint32(len(f.response))
		f.response = nil
		if f.timer != nil {
			f.timer.Stop()
		}
	}
	switch {
	case len(p.Data) > 0 && p.Seq == f.next:
		f.next += uint32(len(p.Data))
		s.send(key, f, Packet{Seq: f.respSeq, Ack: f.next, Flags: ACK})
		s.accept(key, f, requestID(p.Data))
	case len(p.Data) > 0:
		s.send(key, f, Packet{Seq: f.respSeq, Ack: f.next, Flags: ACK})
	case p.Flags&FIN != 0:
		f.ended = true
		s.world.ended(s, key)
		s.send(key, f, Packet{Seq: f.respSeq, Ack: f.next, Flags: FIN | ACK})
		time.AfterFunc(endedTTL, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.flows[key] == f {
				s.forget(key, f)
			}
		})
	}
}

// slots is the number of requests that a server works on at once, and maxQueue that of those that
// wait. It rejects more.
const (
	slots    = 2
	maxQueue = 8
)

// accept works on a request, lets it wait or rejects it. s.mu is held.
func (s *Server) accept(key FlowKey, f *serverFlow, id string) {
	begin := func() {
		s.busy++
		s.Run[id]++
		time.AfterFunc(s.work, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.respond(key, f, response(s.ID, id))
			s.busy--
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
		})
	}
	switch {
	case s.busy < slots:
		begin()
	case len(s.queue) < maxQueue:
		s.queue = append(s.queue, begin)
	default:
		s.respond(key, f, rejection(s.ID, id))
	}
}

func (s *Server) respond(key FlowKey, f *serverFlow, b []byte) {
	if s.closed || f.ended || s.flows[key] != f {
		return
	}
	f.response, f.acked, f.tries = b, false, 0
	s.transmit(key, f)
}

func (s *Server) transmit(key FlowKey, f *serverFlow) {
	if f.acked || f.ended || s.closed || s.flows[key] != f {
		return
	}
	flags := byte(ACK)
	if s.draining {
		flags |= FIN
	}
	s.send(key, f, Packet{Seq: f.respSeq, Ack: f.next, Flags: flags, Data: f.response})
	s.again(f, func() { s.transmit(key, f) }, func() { s.forget(key, f) })
}

func (s *Server) sendSynAck(key FlowKey, f *serverFlow) {
	if f.open || s.closed || s.flows[key] != f {
		return
	}
	s.send(key, f, Packet{Seq: f.seq, Ack: f.next, Flags: SYN | ACK})
	s.again(f, func() { s.sendSynAck(key, f) }, func() { s.forget(key, f) })
}

// again calls fn after the pause for the next try, or giveUp after the last.
func (s *Server) again(f *serverFlow, fn, giveUp func()) {
	pause := min(maxRetransmit, firstRetransmit<<f.tries)
	f.tries++
	if f.tries > serverRetries {
		fn = giveUp
	}
	f.timer = time.AfterFunc(pause, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		fn()
	})
}

func (s *Server) forget(key FlowKey, f *serverFlow) {
	if f.timer != nil {
		f.timer.Stop()
	}
	if s.flows[key] == f {
		delete(s.flows, key)
	}
	if f.open {
		s.world.ended(s, key)
	}
}

func (s *Server) reset(key FlowKey, p Packet) {
	// The number of the server is in the sequence number, for the check alone.
	s.deliver(key, Packet{Seq: uint32(s.Number), Echo: p.Echo, Flags: RST})
}

func (s *Server) send(key FlowKey, f *serverFlow, p Packet) {
	p.Echo = f.echo
	s.deliver(key, p)
}

func (s *Server) deliver(key FlowKey, p Packet) {
	p.Src, p.Dst = key.Service, key.Caller
	if s.world.lose() {
		s.world.trace(key, "%s: %s lost on its way to the caller", s.ID, p)
		return
	}
	_, _ = s.conn.WriteToUDPAddrPort(p.Encode(), netip.AddrPortFrom(key.Caller.Addr(), dataPort))
}

// String describes a packet.
func (p Packet) String() string {
	flags := ""
	for _, f := range []struct {
		bit  byte
		name string
	}{{SYN, "SYN"}, {ACK, "ACK"}, {FIN, "FIN"}, {RST, "RST"}} {
		if p.Flags&f.bit != 0 {
			flags += "+" + f.name
		}
	}
	if flags != "" {
		flags = flags[1:]
	}
	return fmt.Sprintf("%s seq %d ack %d echo %08x data %d", flags, p.Seq, p.Ack, p.Echo, len(p.Data))
}
