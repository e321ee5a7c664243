package platform

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// envelopeLength is the size in bytes of the server number that precedes each packet.
const envelopeLength = 8

// Backend is a backend server. It accepts flows and responds to each request with
// its id and the request.
type Backend struct {
	// ID is the server's id, such as "i-7f3a91c2", and Number the number in it.
	ID     string
	Number uint64
	Pool   string
	Zone   string
	// StartMS is the server's start in Unix milliseconds.
	StartMS int64

	// Endpoint is the address in the server's registration. It is the address on
	// which the server listens unless a relay forwards the packets.
	Endpoint netip.AddrPort

	callerPort uint16
	conn       *net.UDPConn

	mu           sync.Mutex
	writes       uint64 // number of registrations since the start
	unresponsive bool
	failing      bool
	flows        map[[2]netip.AddrPort]*backendFlow
	// executed counts the executions of each request.
	executed    map[string]int
	requests    int
	forged      int
	misdirected int
	// opened counts the accepted flows; lastOpened is the time of the last one.
	opened     uint32
	lastOpened time.Time
}

// backendFlow is the state of a flow on a server.
type backendFlow struct {
	// seq is the server's initial sequence number. The flow is open once the caller
	// has acknowledged it.
	seq  uint32
	open bool
	// next is the sequence number of the next request; response is the last one
	// sent, which a retransmitted request gets again.
	next     uint32
	response []byte
}

// NewBackend starts a server on a loopback address. It sends its packets to
// callerPort of the callers' addresses.
func NewBackend(addr netip.AddrPort, number uint64, pool, zone string, callerPort uint16) (*Backend, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrap(err, "listen for packets")
	}
	b := &Backend{
		ID: fmt.Sprintf("i-%08x", number), Number: number, Pool: pool, Zone: zone, StartMS: time.Now().UnixMilli(),
		Endpoint: addr, callerPort: callerPort, conn: conn, flows: map[[2]netip.AddrPort]*backendFlow{}, executed: map[string]int{},
	}
	go b.run()
	return b, nil
}

// Close stops the server abruptly. Its registration and its flows remain.
func (b *Backend) Close() { _ = b.conn.Close() } // the socket is not used any more

// SetUnresponsive sets whether the server ignores all packets.
func (b *Backend) SetUnresponsive(unresponsive bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unresponsive = unresponsive
}

// SetFailing sets whether the server answers all requests with a short error.
func (b *Backend) SetFailing(failing bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failing = failing
}

// Restart drops the server's flows and changes its start time, like a new process
// with the same id.
func (b *Backend) Restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flows = map[[2]netip.AddrPort]*backendFlow{}
	b.StartMS++
	b.writes = 0
}

// Counts returns the number of executed requests, of forged packets, which are malformed
// or have a wrong checksum, and of packets addressed to another server.
func (b *Backend) Counts() (requests, forged, misdirected int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests, b.forged, b.misdirected
}

// Executed returns the number of executions of each request.
func (b *Backend) Executed() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.executed)
}

// LastOpened returns the time at which the server accepted its last flow.
func (b *Backend) LastOpened() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastOpened
}

// Key returns the key of the server's registration in the store.
func (b *Backend) Key() string { return "servers/" + b.ID }

// Registration returns the next value of the server's registration with the given state.
func (b *Backend) Registration(state string) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writes++
	return b.registration(state, b.writes)
}

// Registered reports whether value is a registration of the server with the given state,
// whatever its number.
func (b *Backend) Registered(value []byte, state string) bool {
	var written struct {
		Seq uint64 `json:"seq"`
	}
	if json.Unmarshal(value, &written) != nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Equal(value, b.registration(state, written.Seq))
}

func (b *Backend) registration(state string, number uint64) []byte {
	value, err := json.Marshal(map[string]any{
		"service": b.Pool, "address": b.Endpoint.String(), "zone": b.Zone, "version": "v1", "slots": 2,
		"state": state, "cold_remaining_ms": 0, "seq": number, "born": b.StartMS,
	})
	if err != nil {
		panic(err) // cannot happen: the value has only plain types
	}
	return value
}

func (b *Backend) run() {
	buffer := make([]byte, 2048)
	for {
		n, _, err := b.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		if n > envelopeLength {
			b.handle(binary.BigEndian.Uint64(buffer), buffer[envelopeLength:n])
		}
	}
}

// handle processes a packet with the server number that preceded it.
func (b *Backend) handle(number uint64, raw []byte) {
	p, err := DecodePacket(raw)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.unresponsive:
	case err != nil || !p.ChecksumValid:
		b.forged++
	case number != 0 && number != b.Number:
		b.misdirected++
	default:
		b.accept(p)
	}
}

// accept processes a valid packet addressed to this server. b.mu must be held.
func (b *Backend) accept(p Packet) {
	id := [2]netip.AddrPort{p.Src, p.Dst}
	f := b.flows[id]
	switch {
	case p.Flags&SYN != 0 && f == nil:
		b.opened++
		f = &backendFlow{seq: (uint32(b.Number)<<16 + b.opened) * sequenceStride, next: p.Seq + 1}
		b.flows[id] = f
		b.lastOpened = time.Now()
		b.reply(p, Packet{Seq: f.seq, Flags: SYN | ACK})
	case p.Flags&SYN != 0:
		b.reply(p, Packet{Seq: f.seq, Flags: SYN | ACK})
	case f == nil || !f.checkOpen(p):
		b.reply(p, Packet{Flags: RST})
	case p.Flags&FIN != 0:
		delete(b.flows, id)
		b.reply(p, Packet{Flags: FIN | ACK})
	case len(p.Data) > 0:
		if p.Seq == f.next {
			b.requests++
			b.executed[string(p.Data)]++
			f.next += uint32(len(p.Data))
			f.response = append([]byte(b.ID+" "), p.Data...)
			if b.failing {
				f.response = []byte("err")
			}
		}
		b.reply(p, Packet{Seq: f.seq + 1, Flags: ACK, Data: f.response})
	}
}

// sequenceStride keeps the initial sequence numbers of different flows far apart.
const sequenceStride = 2654435761

// checkOpen reports whether the flow is open on this server. If two servers accepted
// the flow, the caller has acknowledged only one of them.
func (f *backendFlow) checkOpen(p Packet) bool {
	f.open = f.open || p.Ack == f.seq
	return f.open
}

// reply completes p as the reply to a received packet and sends it to the caller.
func (b *Backend) reply(received, p Packet) {
	p.Src, p.Dst, p.Echo = received.Dst, received.Src, received.Echo
	p.Ack = received.Seq + uint32(len(received.Data))
	// A caller that gets no response reports it, so the error is not needed.
	_, _ = b.conn.WriteToUDPAddrPort(p.Encode(), netip.AddrPortFrom(received.Src.Addr(), b.callerPort))
}
