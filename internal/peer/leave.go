package peer

import (
	"context"
	"time"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/wait"
)

// leavePollInterval is the interval at which AnnounceLeaving checks for
// acknowledgements and Leave checks for open links.
const leavePollInterval = 20 * time.Millisecond

// AnnounceLeaving announces that this daemon is leaving, and waits until all linked
// peers have acknowledged it or ctx ends. The daemon owns no slots from then on,
// but keeps forwarding until Leave.
func (n *Node) AnnounceLeaving(ctx context.Context) error {
	n.cfg.Table.AnnounceLeaving()
	for !n.allPeersAcknowledged() {
		if !wait.For(ctx, leavePollInterval) {
			return opError("announce leaving", "any", ctx.Err())
		}
	}
	return nil
}

// allPeersAcknowledged reports whether all linked peers have acknowledged this
// daemon's current incarnation.
func (n *Node) allPeersAcknowledged() bool {
	incarnation := n.cfg.Table.View().Self.Incarnation
	for _, l := range n.linksByPeer() {
		if l.acked.Load() < incarnation {
			return false
		}
	}
	return true
}

// Leave announces that this daemon has left, closes the links cleanly, and waits
// until they are closed or ctx ends. It then closes everything that is still open
// and waits until Run has returned. If the daemon has not announced that it is
// leaving, Leave calls AnnounceLeaving first.
func (n *Node) Leave(ctx context.Context) error {
	if n.cfg.Table.View().Self.State == member.Alive {
		if err := n.AnnounceLeaving(ctx); err != nil {
			n.Kill()
			return err
		}
	}
	n.cfg.Table.AnnounceLeft()
	n.mu.Lock()
	select {
	case <-n.stopping:
	default:
		close(n.stopping)
	}
	links := make([]*link, 0, len(n.links))
	for l := range n.links {
		links = append(links, l)
	}
	n.mu.Unlock()
	for _, l := range links {
		l.stop()
	}
	for n.hasLinks() && wait.For(ctx, leavePollInterval) {
	}
	n.Kill()
	return opError("leave", "any", ctx.Err())
}

// hasLinks reports whether any link is open.
func (n *Node) hasLinks() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.links) > 0
}
