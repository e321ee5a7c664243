// Package fabric simulates the platform's network. It sends each packet of
// callers and backend servers through a randomly chosen balancer, in both
// directions, and records for every flow which packets were sent and delivered.
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
	// Seed initialises the random choice of balancers, losses and reordering.
	Seed uint64
	// Listen is the UDP address of the fabric's socket. The zero value selects a
	// free loopback port.
	Listen netip.AddrPort
}

// Host is a caller or backend server that is attached to the fabric.
type Host struct {
	Addr netip.Addr
	Zone string
	// Direct is set for hosts that receive packets without a balancer in between.
	Direct bool
	// Deliver is called with each packet for the host. It must not block.
	Deliver func(packet []byte)
}

// Counts are the packet totals of a Fabric.
type Counts struct {
	ToBalancers   int64 `json:"to_balancers"`
	FromBalancers int64 `json:"from_balancers"`
	// Delivered counts packets that reached a host.
	Delivered int64 `json:"delivered"`
	// SecondHop counts delivered packets that were sent by a different balancer
	// than the one that received them from the fabric.
	SecondHop int64 `json:"second_hop"`
	// NoBalancer counts packets for which no reachable balancer was live.
	NoBalancer int64 `json:"no_balancer"`
	// LostOnPurpose counts packets that were dropped at random, see SetLoss.
	LostOnPurpose int64 `json:"lost_on_purpose"`
	// LostCut counts packets between a balancer and a host in zones that are
	// cut from each other, see SetCut.
	LostCut int64 `json:"lost_cut"`
	// NoHost counts packets from or to an address without an attached host.
	NoHost        int64 `json:"no_host"`
	Malformed     int64 `json:"malformed"`
	UnknownSender int64 `json:"unknown_sender"`
	SendFailed    int64 `json:"send_failed"`
}

// Fabric is a simulated network between hosts and balancers.
type Fabric struct {
	conn    carrier.Conn
	queue   *delayQueue
	ledger  *Ledger
	workers conc.WaitGroup
	closing atomic.Bool

	mu            sync.Mutex
	conditions    conditions
	hosts         map[netip.Addr]Host
	balancers     map[netip.AddrPort]*balancer
	liveBalancers []*balancer
	counts        Counts
}

// New starts a Fabric. The caller must close it.
func New(o Options) (*Fabric, error) {
	if !o.Listen.IsValid() {
		o.Listen = netip.MustParseAddrPort("127.0.0.1:0")
	}
	conns, err := carrier.Listen(o.Listen, 1)
	if err != nil {
		return nil, errors.Wrap(err, "start fabric")
	}
	f := &Fabric{
		conn: conns[0], queue: newDelayQueue(), ledger: newLedger(), conditions: newConditions(o.Seed),
		hosts: make(map[netip.Addr]Host), balancers: make(map[netip.AddrPort]*balancer),
	}
	f.workers.Go(f.queue.run)
	f.workers.Go(f.receiveLoop)
	return f, nil
}

// Close stops the fabric and drops all delayed packets.
func (f *Fabric) Close() error {
	if f.closing.Swap(true) {
		return nil
	}
	err := f.conn.Close()
	f.queue.close()
	f.workers.Wait()
	if err != nil {
		return errors.Wrap(err, "close fabric")
	}
	return nil
}

// Addr returns the address of the fabric's socket. Balancers receive packets of
// hosts from it and send packets for hosts to it.
func (f *Fabric) Addr() netip.AddrPort { return f.conn.LocalAddr() }

// Ledger returns the records of all flows.
func (f *Fabric) Ledger() *Ledger { return f.ledger }

// Counts returns the totals so far.
func (f *Fabric) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// Attach connects a host to the fabric. Its address must not be in use.
func (f *Fabric) Attach(h Host) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, ok := f.hosts[h.Addr]; ok {
		return errors.Errorf("attach host %q: address in use", h.Addr)
	}
	f.hosts[h.Addr] = h
	return nil
}

// Detach disconnects the host with the address. Later packets for it are
// dropped.
func (f *Fabric) Detach(addr netip.Addr) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.hosts, addr)
}

// Send sends a packet on behalf of the attached host with the address from.
func (f *Fabric) Send(from netip.Addr, packet []byte) {
	p, err := inet.Parse(packet)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch sender, ok := f.hosts[from]; {
	case err != nil:
		f.counts.Malformed++
	case !ok:
		f.counts.NoHost++
	case f.conditions.drawLoss():
		f.counts.LostOnPurpose++
	default:
		f.route(sender, p, packet)
	}
}

// route delays the packet and passes it to its destination, if that host is
// reached directly, or to a balancer. The caller holds f.mu.
func (f *Fabric) route(sender Host, p *inet.Packet, packet []byte) {
	if to, ok := f.hosts[p.Dst.Addr()]; ok && to.Direct {
		f.ledger.recordSent(p, netip.AddrPort{})
		f.queue.schedule(f.conditions.drawDelay(sender.Zone, to.Zone), func() { f.deliver(p, packet, netip.AddrPort{}) })
		return
	}
	b := f.chooseBalancer(sender.Zone)
	if b == nil {
		f.counts.NoBalancer++
		return
	}
	f.ledger.recordSent(p, b.addr)
	f.counts.ToBalancers++
	b.counts.Sent++
	if b.frozen {
		b.counts.LostFrozen++
		return
	}
	f.queue.schedule(f.conditions.drawDelay(sender.Zone, b.zone), func() { f.transmit(packet, b.addr) })
}

func (f *Fabric) transmit(packet []byte, to netip.AddrPort) {
	out := []carrier.Outgoing{{Inner: packet, To: to}}
	if _, err := f.conn.WriteBatch(out); err != nil && !f.closing.Load() {
		f.mu.Lock()
		f.counts.SendFailed++
		f.mu.Unlock()
	}
}

func (f *Fabric) receiveLoop() {
	in := make([]carrier.Incoming, carrier.BatchSize)
	for {
		n, err := f.conn.ReadBatch(in)
		if f.closing.Load() {
			return
		}
		if err != nil {
			continue // a balancer closed its port; the next read succeeds
		}
		for _, packet := range in[:n] {
			f.handleBalancerPacket(bytes.Clone(packet.Inner), packet.From)
		}
	}
}

// handleBalancerPacket delays a packet that a balancer sent and passes it to its
// destination.
func (f *Fabric) handleBalancerPacket(packet []byte, from netip.AddrPort) {
	p, err := inet.Parse(packet)
	f.mu.Lock()
	defer f.mu.Unlock()
	b, known := f.balancers[from]
	if !known {
		f.counts.UnknownSender++
		return
	}
	b.counts.Received++
	f.counts.FromBalancers++
	if err != nil {
		f.counts.Malformed++
		return
	}
	to, ok := f.hosts[p.Dst.Addr()]
	switch {
	case !ok:
		f.counts.NoHost++
	case f.conditions.cut[newZonePair(b.zone, to.Zone)]:
		f.counts.LostCut++
	case f.conditions.drawLoss():
		f.counts.LostOnPurpose++
	default:
		f.queue.schedule(f.conditions.drawDelay(b.zone, to.Zone), func() { f.deliver(p, packet, from) })
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
	if f.ledger.checkDelivered(p, from) {
		f.counts.SecondHop++
	}
	f.mu.Unlock()
	to.Deliver(packet)
}
