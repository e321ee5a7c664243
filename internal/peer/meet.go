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
	// meetInterval is the period in which one dead member or unmet contact is
	// tried.
	meetInterval = time.Second
	// meetAtOnce is how many contacts a starting daemon tries together.
	meetAtOnce = 3
	// meetLinkLife is how long a link to a contact lasts if it is no ring
	// successor: long enough to exchange all records and refutations.
	meetLinkLife = 5 * time.Second
	// directoryInterval is the period in which the platform's VM list is read.
	// At 780 daemons it costs the store 1.3 reads a second.
	directoryInterval = 10 * time.Minute
	// directoryGrace is how long configured contacts have to answer before the
	// list is read for others.
	directoryGrace = 5 * time.Second
	// directoryRetry is the first pause after a failed read of the list.
	directoryRetry = 5 * time.Second
	// directoryTimeout bounds one read of the list, the store client's retries
	// included.
	directoryTimeout = 2 * time.Second
)

// candidate is an address that may lead to VMs without a link.
type candidate struct {
	address netip.AddrPort
	name    member.Name // empty for a contact
}

// meetPeers links for a short time to contacts and to dead members, so that a
// starting daemon finds its region and partitioned zones find each other.
func (n *Node) meetPeers(ctx context.Context) {
	count := meetAtOnce
	ticker := time.NewTicker(meetInterval)
	defer ticker.Stop()
	for {
		candidates := n.candidates()
		rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
		for _, c := range candidates[:min(count, len(candidates))] {
			n.group.Go(func() { n.meet(ctx, c) })
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

// candidates returns the addresses to try: dead members, and contacts at which
// no member lives.
func (n *Node) candidates() []candidate {
	v := n.cfg.Table.View()
	met := map[netip.AddrPort]bool{v.Self.Control: true}
	var out []candidate
	for _, m := range v.Members {
		switch {
		case m.State == member.Dead:
			out = append(out, candidate{m.Control, m.Name})
			met[m.Control] = true
		case m.State != member.Left:
			met[m.Control] = true
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range n.contacts {
		if !met[a] {
			out = append(out, candidate{address: a})
		}
	}
	return out
}

// meet links to one candidate unless it is already being tried.
func (n *Node) meet(ctx context.Context, c candidate) {
	n.mu.Lock()
	busy := n.dialling[c.address]
	n.dialling[c.address] = true
	n.mu.Unlock()
	if busy {
		return
	}
	defer func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.dialling, c.address)
	}()
	life, cancel := context.WithTimeout(ctx, meetLinkLife)
	defer cancel()
	// A failure is expected: most dead members stay dead.
	_ = n.link(ctx, life, c.address, c.name)
}

// listVMs bounds the store client's own retries: only a daemon without peers
// needs the list soon after an outage.
func (n *Node) listVMs(ctx context.Context) ([]store.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	return n.cfg.VMLister.VMs(ctx)
}

// readDirectory reads the platform's list of VMs for contacts and removals. A
// daemon with contacts reads it at once only if none of them answers, so that
// a restart of the fleet does not burden the store.
func (n *Node) readDirectory(ctx context.Context) {
	if len(n.cfg.Seeds) > 0 {
		if !wait.For(ctx, directoryGrace) {
			return
		}
		if len(n.Linked()) > 0 && !wait.For(ctx, rand.N(directoryInterval)) {
			return
		}
	}
	pause := directoryRetry
	for {
		vms, err := n.listVMs(ctx)
		next := directoryInterval
		switch {
		case err == nil:
			pause = directoryRetry
			n.useDirectory(vms)
		case len(n.Linked()) == 0:
			next = pause
			pause = min(2*pause, directoryInterval)
		}
		// Jitter keeps daemons that started together from reading together.
		if !wait.For(ctx, next/2+rand.N(next)) {
			return
		}
	}
}

func (n *Node) useDirectory(vms []store.VM) {
	region := n.cfg.Table.View().Self.Region
	contacts := append([]netip.AddrPort(nil), n.cfg.Seeds...)
	listed := make(map[member.Name]bool, len(vms))
	for _, vm := range vms {
		if vm.Region != region {
			continue
		}
		listed[member.Name(vm.Name)] = true
		if !vm.Leaving {
			contacts = append(contacts, vm.Control)
		}
	}
	n.mu.Lock()
	n.contacts = contacts
	n.mu.Unlock()
	n.cfg.Table.Prune(listed)
}
