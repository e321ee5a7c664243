package fabric

import (
	"net/netip"
	"slices"
)

// balancer is an entry VM as the fabric knows it.
type balancer struct {
	addr   netip.AddrPort
	zone   string
	live   bool
	frozen bool
	count  BalancerCounts
}

// BalancerCounts tells what the fabric exchanged with one balancer.
type BalancerCounts struct {
	// Sent and Received count packets to and from the balancer.
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
	// LostFrozen counts packets to the balancer while it was frozen.
	LostFrozen int64 `json:"lost_frozen"`
}

// AddBalancer makes the balancer at this data address a target of packets.
func (f *Fabric) AddBalancer(addr netip.AddrPort, zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b, ok := f.byAddr[addr]; ok {
		b.zone, b.live, b.frozen = zone, true, false
	} else {
		f.byAddr[addr] = &balancer{addr: addr, zone: zone, live: true}
	}
	f.refreshLive()
}

// RemoveBalancer stops sending packets to a balancer. Packets that it still
// sends are delivered, because a leaving balancer finishes its work.
func (f *Fabric) RemoveBalancer(addr netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b, ok := f.byAddr[addr]; ok {
		b.live = false
	}
	f.refreshLive()
}

// SetFrozen loses all packets to a balancer, which the fabric goes on
// choosing, or ends this.
func (f *Fabric) SetFrozen(addr netip.AddrPort, frozen bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b, ok := f.byAddr[addr]; ok {
		b.frozen = frozen
	}
}

// BalancerCounts returns the counts of each balancer that was ever added.
func (f *Fabric) BalancerCounts() map[netip.AddrPort]BalancerCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make(map[netip.AddrPort]BalancerCounts, len(f.byAddr))
	for addr, b := range f.byAddr {
		counts[addr] = b.count
	}
	return counts
}

// refreshLive lists the live balancers in the order of their addresses, so
// that a seed gives the same choices whatever the order of the map.
func (f *Fabric) refreshLive() {
	f.live = f.live[:0]
	for _, b := range f.byAddr {
		if b.live {
			f.live = append(f.live, b)
		}
	}
	slices.SortFunc(f.live, func(a, b *balancer) int { return a.addr.Compare(b.addr) })
}

// choose picks a live balancer that the zone can reach, each with the same
// probability, or nil.
func (f *Fabric) choose(zone string) *balancer {
	reachable := make([]*balancer, 0, len(f.live))
	for _, b := range f.live {
		if !f.net.cut[pairOf(zone, b.zone)] {
			reachable = append(reachable, b)
		}
	}
	if len(reachable) == 0 {
		return nil
	}
	return reachable[f.net.rng.IntN(len(reachable))]
}
