package exchange

import (
	"math/rand/v2"
	"net/netip"
	"slices"
)

// rotation is an order in which peers get reports. Each cycle has a new random order:
// daemons that go through the same list in the same order would all report to the same
// peer at the same time, and then not at all for the rest of the cycle.
type rotation struct {
	due []netip.Addr
}

// next returns the next n peers, or all if there are fewer. It calls peers for those of
// the next cycle. No batch has a peer twice.
func (r *rotation) next(n int, peers func() []netip.Addr) []netip.Addr {
	if len(r.due) < n {
		r.due = append(slices.Clone(r.due), r.nextCycle(peers())...)
	}
	n = min(n, len(r.due))
	batch := r.due[:n]
	r.due = r.due[n:]
	return batch
}

// nextCycle returns peers in random order, those that are still due last.
func (r *rotation) nextCycle(peers []netip.Addr) []netip.Addr {
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	isDue := func(a netip.Addr) bool { return slices.Contains(r.due, a) }
	var last []netip.Addr
	for _, a := range peers {
		if isDue(a) {
			last = append(last, a)
		}
	}
	return append(slices.DeleteFunc(peers, isDue), last...)
}
