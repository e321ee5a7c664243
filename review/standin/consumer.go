package standin

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Times of a consumer.
const (
	// openTimeout is how long a consumer waits for a SYN+ACK.
	openTimeout = 1400 * time.Millisecond
	// requestTimeout is the consumer's time limit for a request.
	requestTimeout = 5 * time.Second
)

// synCopies are the times after the first SYN at which a consumer sends its copies.
var synCopies = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// Errors of a flow.
var (
	ErrReset   = errors.New("flow was reset")
	ErrTimeout = errors.New("no answer in time")
)

// Picker chooses the daemon that gets a packet.
type Picker interface {
	Pick(consumer, service netip.AddrPort) netip.AddrPort
}

// Consumer opens flows from one address.
type Consumer struct {
	addr   netip.Addr
	conn   *net.UDPConn
	router Picker
	record *Record
	// Lose, if set, reports whether an arriving datagram is lost on its way.
	Lose func(p Packet, from netip.AddrPort) bool
	// Datagrams counts those sent and those that arrived or were lost on their way.
	Datagrams atomic.Int64

	mu    sync.Mutex
	port  uint16
	flows map[netip.AddrPort]*Flow
}

// NewConsumer returns a consumer. Servers and daemons send to the port of addr.
func NewConsumer(r *Record, addr netip.AddrPort, router Picker) (*Consumer, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	c := &Consumer{addr: addr.Addr(), conn: conn, router: router, record: r, port: 40_000, flows: map[netip.AddrPort]*Flow{}}
	go c.receive()
	return c, nil
}

// Close closes the socket.
func (c *Consumer) Close() { _ = c.conn.Close() }

// Flow is one flow of a consumer. It is open at the server whose SYN+ACK the consumer
// got first and acknowledged.
type Flow struct {
	consumer      *Consumer
	Addr, service netip.AddrPort
	// Server is the address of the server at which the flow is open.
	Server netip.AddrPort

	mu        sync.Mutex
	echo      uint32 // of the last packet received
	seq, ack  uint32
	open      bool
	reset     error
	answer    []byte
	answered  bool
	fin       bool
	newPacket chan struct{}
}

func (c *Consumer) receive() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		p, err := Decode(buffer[:n])
		if err != nil {
			c.record.Add("consumer %s gets bytes that are no packet from %s", c.addr, from)
			continue
		}
		c.Datagrams.Add(1)
		if c.Lose != nil && c.Lose(p, from) {
			c.record.Add("LOST on the way: a datagram of %s for flow %s, flags %d", from, p.Dst, p.Flags)
			continue
		}
		c.mu.Lock()
		f := c.flows[p.Dst]
		c.mu.Unlock()
		if f != nil && p.Src == f.service {
			f.handle(p, from)
		}
	}
}

// handle processes a packet of the flow that came from a server or a daemon.
func (f *Flow) handle(p Packet, from netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.Flags&RST == 0 && !p.SumValid {
		f.consumer.record.Add("consumer: flow %s gets a forged packet from %s", f.Addr, from)
		return
	}
	if p.Flags&RST == 0 {
		f.echo = p.Echo
	}
	switch {
	case p.Flags&RST != 0 && f.open:
		f.consumer.record.Add("consumer: open flow %s gets a RESET from %s; it is open at %s", f.Addr, from, f.Server)
		f.reset = fmt.Errorf("%w by %s while it is open at %s", ErrReset, from, f.Server)
	case p.Flags&RST != 0:
		f.reset = fmt.Errorf("%w by %s", ErrReset, from)
	case p.Flags&SYN != 0 && !f.open:
		f.open, f.Server, f.ack = true, from, p.Seq+1
		f.consumer.record.Add("consumer: flow %s opens at %s", f.Addr, from)
		f.send(Packet{Seq: f.seq, Ack: f.ack, Flags: ACK})
	case p.Flags&SYN != 0:
		// Another server has accepted the flow too, or the first one repeats itself.
	case p.Flags&FIN != 0:
		f.fin = true
	case len(p.Data) > 0 && p.Seq == f.ack:
		f.ack += uint32(len(p.Data))
		f.answer, f.answered = p.Data, true
		f.send(Packet{Seq: f.seq, Ack: f.ack, Flags: ACK})
	}
	select {
	case f.newPacket <- struct{}{}:
	default:
	}
}

// send sends a packet of the flow. f.mu must be held.
func (f *Flow) send(p Packet) {
	p.Src, p.Dst, p.Echo = f.Addr, f.service, f.echo
	if p.Flags&SYN != 0 {
		p.Echo = 0
	}
	f.consumer.Datagrams.Add(1)
	_, _ = f.consumer.conn.WriteToUDPAddrPort(p.Encode(), f.consumer.router.Pick(f.Addr, f.service))
}

// await waits until done holds, sending again at the given times, and returns ErrReset or
// ErrTimeout if it does not.
func (f *Flow) await(timeout time.Duration, again func() time.Duration, done func() bool) error {
	end := time.Now().Add(timeout)
	next := time.Now().Add(again())
	for {
		f.mu.Lock()
		reset, ok := f.reset, done()
		f.mu.Unlock()
		switch {
		case ok:
			return nil
		case reset != nil:
			return reset
		case time.Now().After(end):
			return ErrTimeout
		}
		wait := min(time.Until(next), time.Until(end)+time.Millisecond)
		select {
		case <-f.newPacket:
		case <-time.After(max(0, wait)):
			if !time.Now().Before(next) {
				next = time.Now().Add(again())
			}
		}
	}
}

// Open opens a flow to a service from a new port.
func (c *Consumer) Open(service netip.AddrPort) (*Flow, error) {
	c.mu.Lock()
	c.port++
	f := &Flow{consumer: c, Addr: netip.AddrPortFrom(c.addr, c.port), service: service, seq: uint32(c.port) * 7_000_003, newPacket: make(chan struct{}, 1)}
	c.flows[f.Addr] = f
	c.mu.Unlock()
	start, copies := time.Now(), uint32(0)
	again := func() time.Duration {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.send(Packet{Seq: f.seq - 1, Ack: copies, Flags: SYN})
		copies++
		if int(copies) > len(synCopies) {
			return openTimeout
		}
		return time.Until(start.Add(synCopies[copies-1]))
	}
	return f, f.await(openTimeout, again, func() bool { return f.open })
}

// Request sends a request and returns its answer.
func (f *Flow) Request(text string) (string, error) {
	f.mu.Lock()
	f.answered = false
	seq := f.seq
	f.seq += uint32(len(text))
	f.mu.Unlock()
	interval := firstRetransmit
	again := func() time.Duration {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.send(Packet{Seq: seq, Ack: f.ack, Flags: ACK, Data: []byte(text)})
		wait := interval
		interval = min(2*interval, maxRetransmit)
		return wait
	}
	err := f.await(requestTimeout, again, func() bool { return f.answered })
	f.mu.Lock()
	defer f.mu.Unlock()
	return string(f.answer), err
}

// Close ends the flow.
func (f *Flow) Close() {
	interval := firstRetransmit
	again := func() time.Duration {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.send(Packet{Seq: f.seq, Ack: f.ack, Flags: FIN | ACK})
		wait := interval
		interval = min(2*interval, maxRetransmit)
		return wait
	}
	_ = f.await(time.Second, again, func() bool { return f.fin })
}
