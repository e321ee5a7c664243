package platform

import (
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

// envelopeLength is the size of the server's number before each packet.
const envelopeLength = 8

// Backend is a backend server: it accepts flows and answers each request with
// its id and the request.
type Backend struct {
	// ID is its id, such as "i-7f3a91c2", and Number the number in it.
	ID     string
	Number uint64
	Pool   string
	Zone   string
	// StartMS is its start in Unix milliseconds.
	StartMS int64

	// Endpoint is the address under which the server registers, if packets reach
	// it through another one.
	Endpoint netip.AddrPort

	callerPort uint16
	conn       *net.UDPConn

	mu    sync.Mutex
	deaf  bool
	flows map[[2]netip.AddrPort]*backendFlow
	// executed counts how often each request was run.
	executed map[string]int
	requests int
	forged   int
	strays   int
	// opened counts the flows, and lastOpened is when the last one was opened.
	opened     uint32
	lastOpened time.Time
}

type backendFlow struct {
	// seq is the sequence number by which the caller names this server: the flow is
	// open when the caller has acknowledged it.
	seq  uint32
	open bool
	// next is the sequence number of the request that comes next; response is
	// the last one, for a request that is repeated.
	next     uint32
	response []byte
}

// NewBackend starts a server on a loopback address.
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

// Close ends the server without a word.
func (b *Backend) Close() { _ = b.conn.Close() } // the test ends

// SetUnresponsive makes the server ignore all packets.
func (b *Backend) SetUnresponsive(deaf bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.deaf = deaf
}

// Restart makes the server forget its flows, as a new process with its id.
func (b *Backend) Restart() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flows = map[[2]netip.AddrPort]*backendFlow{}
	b.StartMS++
}

// Counts returns the requests that were run, the packets with a wrong sum and
// those that were meant for another server.
func (b *Backend) Counts() (requests, forged, strays int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.requests, b.forged, b.strays
}

// Executed returns how often each request was run.
func (b *Backend) Executed() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.executed)
}

// LastOpened returns when the last flow was opened.
func (b *Backend) LastOpened() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastOpened
}

// Key and Entry are the server's registration in the store.
func (b *Backend) Key() string { return "servers/" + b.ID }

// Registration returns the registration in a state.
func (b *Backend) Registration(state string) []byte {
	value, err := json.Marshal(map[string]any{
		"service": b.Pool, "address": b.Endpoint.String(), "zone": b.Zone, "version": "v1", "slots": 2,
		"state": state, "cold_remaining_ms": 0, "seq": 1, "born": b.StartMS,
	})
	if err != nil {
		panic(err) // the value is made of plain types
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

func (b *Backend) handle(number uint64, raw []byte) {
	p, err := DecodePacket(raw)
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case b.deaf:
	case err != nil || !p.ChecksumValid:
		b.forged++
	case number != 0 && number != b.Number:
		b.strays++
	default:
		b.accept(p)
	}
}

func (b *Backend) accept(p Packet) {
	id := [2]netip.AddrPort{p.Src, p.Dst}
	f := b.flows[id]
	switch {
	case p.Flags&SYN != 0 && f == nil:
		b.opened++
		f = &backendFlow{seq: (uint32(b.Number)<<16 + b.opened) * sequenceSpread, next: p.Seq + 1}
		b.flows[id] = f
		b.lastOpened = time.Now()
		b.reply(p, Packet{Seq: f.seq, Flags: SYN | ACK})
	case p.Flags&SYN != 0:
		b.reply(p, Packet{Seq: f.seq, Flags: SYN | ACK})
	case f == nil || !f.holds(p):
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
		}
		b.reply(p, Packet{Seq: f.seq + 1, Flags: ACK, Data: f.response})
	}
}

// sequenceSpread keeps the sequence numbers of flows far apart.
const sequenceSpread = 2654435761

// holds reports whether the flow is open here: the caller may have acknowledged
// another server that has accepted it too.
func (f *backendFlow) holds(p Packet) bool {
	f.open = f.open || p.Ack == f.seq
	return f.open
}

func (b *Backend) reply(to, p Packet) {
	p.Src, p.Dst, p.Echo = to.Dst, to.Src, to.Echo
	p.Ack = to.Seq + uint32(len(to.Data))
	// A lost response is what the tests look for.
	_, _ = b.conn.WriteToUDPAddrPort(p.Encode(), netip.AddrPortFrom(to.Src.Addr(), b.callerPort))
}
