package peer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/wait"
)

const (
	// discoveryInterval is the interval at which one dead member or unknown seed is
	// dialled.
	discoveryInterval = time.Second
	// initialDiscoveryDials is the number of seeds that a starting daemon dials at the
	// same time.
	initialDiscoveryDials = 3
	// discoveryLinkDuration is how long a discovery link stays open. It is long enough
	// to exchange all records and refutations.
	discoveryLinkDuration = 5 * time.Second
	// vmListInterval is the interval at which the platform's VM list is read. With
	// 780 daemons, the store serves 1.3 reads per second.
	vmListInterval = 10 * time.Minute
	// seedGracePeriod is how long configured seeds have to answer before the VM list
	// is read for further ones.
	seedGracePeriod = 5 * time.Second
	// initialVMListRetryDelay is the delay after the first failed read of the list.
	initialVMListRetryDelay = 5 * time.Second
	// vmListTimeout is the timeout of one read of the list, including the store
	// client's retries.
	vmListTimeout = 2 * time.Second
)

// candidate is an address at which an unconnected part of the region may be found.
type candidate struct {
	address netip.AddrPort
	name    member.Name // empty for a seed
}

// discoverPeers opens short links to seeds and to dead members, so that a starting
// daemon joins its region, and zones rejoin after a partition.
func (n *Node) discoverPeers(ctx context.Context) {
	count := initialDiscoveryDials
	ticker := time.NewTicker(discoveryInterval)
	defer ticker.Stop()
	for {
		candidates := n.candidates()
		rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		for _, c := range candidates[:min(count, len(candidates))] {
			n.group.Go(func() { n.tryCandidate(ctx, c) })
		}
		count = 1
		select {
		case <-ctx.Done():
			return
		case <-n.stopping:
			return
		case <-ticker.C:
		}
	}
}

// candidates returns the addresses to dial: those of dead members, and seeds whose
// address belongs to no known member.
func (n *Node) candidates() []candidate {
	v := n.cfg.Table.View()
	known := map[netip.AddrPort]bool{v.Self.Control: true}
	var found []candidate
	for _, m := range v.Members {
		switch {
		case m.State == member.Dead:
			found = append(found, candidate{m.Control, m.Name})
			known[m.Control] = true
		case m.State != member.Left:
			known[m.Control] = true
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range n.seeds {
		if !known[a] {
			found = append(found, candidate{address: a})
		}
	}
	return found
}

// tryCandidate opens a short link to a candidate, unless it is already being dialled.
func (n *Node) tryCandidate(ctx context.Context, c candidate) {
	n.mu.Lock()
	alreadyDialling := n.dialling[c.address]
	n.dialling[c.address] = true
	n.mu.Unlock()
	if alreadyDialling {
		return
	}
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.dialling, c.address)
	}()
	linkCtx, cancel := context.WithTimeout(ctx, discoveryLinkDuration)
	defer cancel()
	// Failures are expected, because most dead members stay dead.
	_ = n.openLink(ctx, linkCtx, c.address, c.name)
}

// listVMs reads the VM list. Its timeout cuts off the store client's own retries,
// because only a daemon without peers needs the list soon after an outage.
func (n *Node) listVMs(ctx context.Context) ([]store.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, vmListTimeout)
	defer cancel()
	return n.cfg.VMLister.VMs(ctx)
}

// pollVMList regularly reads the platform's VM list, which provides seeds and shows
// which VMs are gone. A daemon with configured seeds reads it early only if none of
// them answers, so that a restart of all daemons does not overload the store.
func (n *Node) pollVMList(ctx context.Context) {
	if len(n.cfg.Seeds) > 0 {
		if !wait.For(ctx, seedGracePeriod) {
			return
		}
		if len(n.Linked()) > 0 && !wait.For(ctx, rand.N(vmListInterval)) {
			return
		}
	}
	retryDelay := initialVMListRetryDelay
	for {
		vms, err := n.listVMs(ctx)
		delay := vmListInterval
		switch {
		case err == nil:
			retryDelay = initialVMListRetryDelay
			n.applyVMList(vms)
		case len(n.Linked()) == 0:
			delay = retryDelay
			retryDelay = min(2*retryDelay, vmListInterval)
		}
		// The jitter spreads the reads of daemons that started at the same time.
		if !wait.For(ctx, delay/2+rand.N(delay)) {
			return
		}
	}
}

// applyVMList adds the listed VMs of this region to the seeds, and removes dead
// members that are not listed.
func (n *Node) applyVMList(vms []store.VM) {
	region := n.cfg.Table.View().Self.Region
	seeds := append([]netip.AddrPort(nil), n.cfg.Seeds...)
	listed := make(map[member.Name]bool, len(vms))
	for _, vm := range vms {
		if vm.Region != region {
			continue
		}
		listed[member.Name(vm.Name)] = true
		if !vm.Leaving {
			seeds = append(seeds, vm.Control)
		}
	}
	n.mu.Lock()
	n.seeds = seeds
	n.mu.Unlock()
	n.cfg.Table.Prune(listed)
}
