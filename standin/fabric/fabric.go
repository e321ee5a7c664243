// Package fabric is a stand-in for the platform's network: it sprays packets
// of callers and backend servers over the balancers, per packet and in both
// directions, and records what every flow experienced.
package fabric

import (
	"bytes"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"knapweedshore.example/internal/carrier"
	"knapweedshore.example/standin/fabric/inet"
)

// Options configure a Fabric.
type Options struct {
	// Seed determines the choice of balancers, losses and reordering.
	Seed uint64
	// Listen is the address of the fabric's socket; a free loopback port by
	// default.
	Listen netip.AddrPort
}

// Host is an attached caller or backend server.
type Host struct {
	Addr netip.Addr
	Zone string
	// Direct hosts are reached without a balancer.
	Direct bool
	// Deliver takes a packet for the host. It must not block.
	Deliver func(packet []byte)
}

// Counts are the fabric's totals.
type Counts struct {
	ToBalancers   int64 `json:"to_balancers"`
	FromBalancers int64 `json:"from_balancers"`
	Delivered     int64 `json:"delivered"`
	SecondHop     int64 `json:"second_hop"`
	NoBalancer    int64 `json:"no_balancer"`
	LostOnPurpose int64 `json:"lost_on_purpose"`
	LostCut       int64 `json:"lost_cut"`
	NoHost        int64 `json:"no_host"`
	Malformed     int64 `json:"malformed"`
	UnknownSender int64 `json:"unknown_sender"`
	SendFailed    int64 `json:"send_failed"`
}

// Fabric connects hosts with balancers.
type Fabric struct {
	wire    carrier.Conn
	queue   *delayQueue
	ledger  *Ledger
	workers conc.WaitGroup
	closing atomic.Bool

	mu     sync.Mutex
	net    conditions
	hosts  map[netip.Addr]Host
	byAddr map[netip.AddrPort]*balancer
	live   []*balancer
	counts Counts
}

// New returns a running Fabric. Close ends it.
func New(o Options) (*Fabric, error) {
	if !o.Listen.IsValid() {
		o.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	}
	conns, err := carrier.Listen(o.Listen, 1)
	if err != nil {
		return nil, errors.Wrap(err, "start fabric")
	}
	f := &Fabric{
		wire: conns[0], queue: newDelayQueue(), ledger: newLedger(), net: newConditions(o.Seed),
		hosts: make(map[netip.Addr]Host), byAddr: make(map[netip.AddrPort]*balancer),
	}
	f.workers.Go(f.queue.loop)
	f.workers.Go(f.receive)
	return f, nil
}

// Close ends the fabric; packets on their way are lost.
func (f *Fabric) Close() error {
	if f.closing.Swap(true) {
		return nil
	}
	err := f.wire.Close()
	f.queue.close()
	f.workers.Wait()
	if err != nil {
		return errors.Wrap(err, "close fabric")
	}
	return nil
}

// Addr returns the address from which balancers receive packets of hosts, and
// to which they send packets for hosts.
func (f *Fabric) Addr() netip.AddrPort { return f.wire.LocalAddr() }

// Ledger returns the record of flows.
func (f *Fabric) Ledger() *Ledger { return f.ledger }

// Counts returns the totals so far.
func (f *Fabric) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// Attach connects a host under its address.
func (f *Fabric) Attach(h Host) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.hosts[h.Addr]; ok {
		return errors.Errorf("attach host %q: address in use", h.Addr)
	}
	f.hosts[h.Addr] = h
	return nil
}

// Detach disconnects a host; packets for it are lost.
func (f *Fabric) Detach(addr netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.hosts, addr)
}

// Send takes a packet of the host with address from.
func (f *Fabric) Send(from netip.Addr, packet []byte) {
	p, err := inet.Parse(packet)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch sender, ok := f.hosts[from]; {
	case err != nil:
		f.counts.Malformed++
	case !ok:
		f.counts.NoHost++
	case f.net.lost():
		f.counts.LostOnPurpose++
	default:
		f.route(sender, p, packet)
	}
}

func (f *Fabric) route(sender Host, p *inet.Packet, packet []byte) {
	if to, ok := f.hosts[p.Dst.Addr()]; ok && to.Direct {
		f.ledger.sent(p, netip.AddrPort{})
		f.queue.after(f.net.delay(sender.Zone, to.Zone), func() { f.deliver(p, packet, netip.AddrPort{}) })
		return
	}
	b := f.choose(sender.Zone)
	if b == nil {
		f.counts.NoBalancer++
		return
	}
	f.ledger.sent(p, b.addr)
	f.counts.ToBalancers++
	b.count.Sent++
	if b.frozen {
		b.count.LostFrozen++
		return
	}
	f.queue.after(f.net.delay(sender.Zone, b.zone), func() { f.transmit(packet, b.addr) })
}

func (f *Fabric) transmit(packet []byte, to netip.AddrPort) {
	out := []carrier.Outgoing{{Inner: packet, To: to}}
	if _, err := f.wire.WriteBatch(out); err != nil && !f.closing.Load() {
		f.mu.Lock()
		f.counts.SendFailed++
		f.mu.Unlock()
	}
}

func (f *Fabric) receive() {
	in := make([]carrier.Incoming, carrier.BatchSize)
	for {
		n, err := f.wire.ReadBatch(in)
		if f.closing.Load() {
			return
		}
		if err != nil {
			continue // a balancer's closed port; the next read succeeds
		}
		for _, packet := range in[:n] {
			f.accept(bytes.Clone(packet.Inner), packet.From)
		}
	}
}

// accept takes a packet that a balancer sent and starts its way to the host.
func (f *Fabric) accept(packet []byte, from netip.AddrPort) {
	p, err := inet.Parse(packet)
	f.mu.Lock()
	defer f.mu.Unlock()
	b, known := f.byAddr[from]
	if !known {
		f.counts.UnknownSender++
		return
	}
	b.count.Received++
	f.counts.FromBalancers++
	if err != nil {
		f.counts.Malformed++
		return
	}
	to, ok := f.hosts[p.Dst.Addr()]
	switch {
	case !ok:
		f.counts.NoHost++
	case f.net.cut[pairOf(b.zone, to.Zone)]:
		f.counts.LostCut++
	case f.net.lost():
		f.counts.LostOnPurpose++
	default:
		f.queue.after(f.net.delay(b.zone, to.Zone), func() { f.deliver(p, packet, from) })
	}
}

func (f *Fabric) deliver(p *inet.Packet, packet []byte, from netip.AddrPort) {
	f.mu.Lock()
	to, ok := f.hosts[p.Dst.Addr()]
	if !ok {
		f.counts.NoHost++
		f.mu.Unlock()
		return
	}
	f.counts.Delivered++
	if f.ledger.delivered(p, from) {
		f.counts.SecondHop++
	}
	f.mu.Unlock()
	to.Deliver(packet)
}
