package standin

import (
	"encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Retransmission of packets without an answer, by consumers and servers.
const (
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = 1600 * time.Millisecond
	// maxRetransmits is the number of retransmissions after which a server gives up.
	maxRetransmits = 8
)

type flowID struct{ consumer, service netip.AddrPort }

// Server is a server of a service. It answers each request with its id and the request.
type Server struct {
	ID         string
	Number     uint64
	Service    string
	Zone       string
	Addr       netip.AddrPort
	record     *Record
	conn       *net.UDPConn
	entry      int
	answerPort uint16
	started    int64

	mu    sync.Mutex
	flows map[flowID]*serverFlow
	boots uint32
}

// serverFlow is a flow that a server has accepted. It is open once the consumer has
// acknowledged the server's own sequence number.
type serverFlow struct {
	seq, echo uint32
	// next is the sequence number of the next request, nextSent that of the next answer.
	next, nextSent uint32
	open, closed   bool
	// answer is the last answer, which a repeated request gets again.
	answer    []byte
	answerSeq uint32
}

// NewServer starts a server that sends its packets to answerPort of the consumers.
func NewServer(r *Record, addr netip.AddrPort, number uint64, service, zone string, answerPort uint16) (*Server, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	digits := 8
	if number>>32 != 0 {
		digits = 10
	}
	s := &Server{
		ID: fmt.Sprintf("i-%0*x", digits, number), Number: number, Service: service, Zone: zone, Addr: addr, record: r, conn: conn,
		answerPort: answerPort, started: time.Now().UnixMilli(), flows: map[flowID]*serverFlow{},
	}
	go s.run()
	return s, nil
}

// Close stops the server.
func (s *Server) Close() { _ = s.conn.Close() }

// Key is the key of the server's entry in the store.
func (s *Server) Key() string { return "servers/" + s.ID }

// Entry returns the next value of the server's entry.
func (s *Server) Entry(state string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entry++
	return map[string]any{
		"service": s.Service, "address": s.Addr.String(), "zone": s.Zone, "version": "v1", "slots": 2, "state": state,
		"cold_remaining_ms": 0, "seq": s.entry, "born": s.started,
	}
}

func (s *Server) run() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n <= 8 {
			continue
		}
		number := binary.BigEndian.Uint64(buffer)
		p, err := Decode(buffer[8:n])
		if err != nil || !p.SumValid || number != 0 && number != s.Number {
			s.record.Add("server %s drops a packet: number %x, decode error %v", s.ID, number, err)
			continue
		}
		s.mu.Lock()
		s.handle(p)
		s.mu.Unlock()
	}
}

// handle processes a packet for this server. s.mu must be held.
func (s *Server) handle(p Packet) {
	id := flowID{p.Src, p.Dst}
	f := s.flows[id]
	switch {
	case p.Flags&SYN != 0 && p.Flags&ACK != 0:
		s.record.Add("server %s drops a forged SYN+ACK", s.ID)
	case p.Flags&SYN != 0 && (f == nil || f.closed):
		s.boots++
		f = &serverFlow{seq: uint32(s.Number)*2654435761 + s.boots*40_000_003, echo: p.Echo, next: p.Seq + 1}
		f.nextSent = f.seq + 1
		s.flows[id] = f
		s.record.Add("server %s accepts flow %s (SYN copy %d)", s.ID, p.Src, p.Ack)
		s.send(id, f, Packet{Seq: f.seq, Ack: f.next, Flags: SYN | ACK})
		go s.repeatAccept(id, f)
	case p.Flags&SYN != 0:
		f.echo = p.Echo
		s.send(id, f, Packet{Seq: f.seq, Ack: f.next, Flags: SYN | ACK})
	case p.Flags&RST != 0:
		delete(s.flows, id)
	case f == nil || !f.opens(p):
		// The flow is open at another server or nowhere.
		s.record.Add("server %s RESETS flow %s, which it does not hold (packet seq %d ack %d data %d)", s.ID, p.Src, p.Seq, p.Ack, len(p.Data))
		s.write(id, Packet{Seq: p.Ack, Ack: p.Seq, Flags: RST, Echo: p.Echo})
	case f.closed && len(p.Data) > 0:
		s.write(id, Packet{Seq: p.Ack, Ack: p.Seq, Flags: RST, Echo: p.Echo})
	case len(p.Data) > 0:
		f.echo = p.Echo
		if p.Seq == f.next {
			s.record.Add("server %s runs request %q", s.ID, p.Data)
			f.next += uint32(len(p.Data))
			f.answer, f.answerSeq = append([]byte(s.ID+" "), p.Data...), f.nextSent
			f.nextSent += uint32(len(f.answer))
		}
		s.send(id, f, Packet{Seq: f.answerSeq, Ack: f.next, Flags: ACK, Data: f.answer})
	case p.Flags&FIN != 0:
		f.closed = true
		s.send(id, f, Packet{Seq: f.nextSent, Ack: p.Seq + 1, Flags: FIN | ACK})
	}
}

// opens reports whether the flow is open at this server. A consumer acknowledges the
// sequence number of one server only.
func (f *serverFlow) opens(p Packet) bool {
	f.open = f.open || p.Ack == f.seq+1
	return f.open
}

// repeatAccept repeats the SYN+ACK of a flow until the consumer has acknowledged it.
func (s *Server) repeatAccept(id flowID, f *serverFlow) {
	interval := firstRetransmit
	for range maxRetransmits {
		time.Sleep(interval)
		interval = min(2*interval, maxRetransmit)
		s.mu.Lock()
		if f.open || s.flows[id] != f {
			s.mu.Unlock()
			return
		}
		s.record.Add("server %s repeats the SYN+ACK of flow %s", s.ID, id.consumer)
		s.send(id, f, Packet{Seq: f.seq, Ack: f.next, Flags: SYN | ACK})
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !f.open && s.flows[id] == f {
		delete(s.flows, id)
	}
}

// send sends a packet of a flow with the last echo that the server received on it.
func (s *Server) send(id flowID, f *serverFlow, p Packet) {
	p.Echo = f.echo
	s.write(id, p)
}

func (s *Server) write(id flowID, p Packet) {
	p.Src, p.Dst = id.service, id.consumer
	// The consumer learns of the sender only through the checksum and the log.
	_, _ = s.conn.WriteToUDPAddrPort(p.Encode(), netip.AddrPortFrom(id.consumer.Addr(), s.answerPort))
}
