package fabric

import (
	"net/netip"
	"slices"
)

// balancer is a balancer that was added to the fabric.
type balancer struct {
	addr   netip.AddrPort
	zone   string
	live   bool
	frozen bool // packets to it are dropped
	counts BalancerCounts
}

// BalancerCounts counts the packets between the fabric and one balancer.
type BalancerCounts struct {
	// Sent and Received count packets to and from the balancer.
	Sent     int64 `json:"sent"`
	Received int64 `json:"received"`
	// LostFrozen counts packets that were dropped while the balancer was frozen.
	LostFrozen int64 `json:"lost_frozen"`
}

// AddBalancer lets the fabric send packets to the balancer with the data
// address addr.
func (f *Fabric) AddBalancer(addr netip.AddrPort, zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b, ok := f.balancers[addr]; ok {
		b.zone, b.live, b.frozen = zone, true, false
	} else {
		f.balancers[addr] = &balancer{addr: addr, zone: zone, live: true}
	}
	f.updateLiveBalancers()
}

// RemoveBalancer stops sending packets to a balancer. Packets from it are still
// delivered, because a leaving balancer finishes its work first.
func (f *Fabric) RemoveBalancer(addr netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b, ok := f.balancers[addr]; ok {
		b.live = false
	}
	f.updateLiveBalancers()
}

// SetFrozen sets whether all packets to a balancer are dropped. The fabric still
// chooses a frozen balancer.
func (f *Fabric) SetFrozen(addr netip.AddrPort, frozen bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b, ok := f.balancers[addr]; ok {
		b.frozen = frozen
	}
}

// BalancerCounts returns the counts of all balancers by data address, removed
// ones included.
func (f *Fabric) BalancerCounts() map[netip.AddrPort]BalancerCounts {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make(map[netip.AddrPort]BalancerCounts, len(f.balancers))
	for addr, b := range f.balancers {
		counts[addr] = b.counts
	}
	return counts
}

// updateLiveBalancers rebuilds the list of live balancers. It is sorted by
// address so that the choices for a seed do not depend on the map's order.
func (f *Fabric) updateLiveBalancers() {
	f.liveBalancers = f.liveBalancers[:0]
	for _, b := range f.balancers {
		if b.live {
			f.liveBalancers = append(f.liveBalancers, b)
		}
	}
	slices.SortFunc(f.liveBalancers, func(a, b *balancer) int { return a.addr.Compare(b.addr) })
}

// chooseBalancer returns a random live balancer that the zone can reach, or nil
// if there is none.
func (f *Fabric) chooseBalancer(zone string) *balancer {
	reachable := make([]*balancer, 0, len(f.liveBalancers))
	for _, b := range f.liveBalancers {
		if !f.conditions.cut[newZonePair(zone, b.zone)] {
			reachable = append(reachable, b)
		}
	}
	if len(reachable) == 0 {
		return nil
	}
	return reachable[f.conditions.rng.IntN(len(reachable))]
}
