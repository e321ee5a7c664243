package peer

import (
	"context"
	"time"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/wait"
)

// leavePoll is the period in which Leave looks for acknowledgements.
const leavePoll = 20 * time.Millisecond

// AnnounceLeaving tells the peers that this daemon is leaving, and returns once
// all linked peers have acknowledged it or ctx ends. The daemon owns no slots
// from then on; it goes on forwarding until Leave.
func (n *Node) AnnounceLeaving(ctx context.Context) error {
	n.cfg.Table.AnnounceLeaving()
	for !n.acknowledged() {
		if !wait.For(ctx, leavePoll) {
			return stepError("announce leaving", "any", ctx.Err())
		}
	}
	return nil
}

// acknowledged reports whether all linked peers know the own incarnation.
func (n *Node) acknowledged() bool {
	incarnation := n.cfg.Table.View().Self.Incarnation
	for _, l := range n.linksByPeer() {
		if l.acked.Load() < incarnation {
			return false
		}
	}
	return true
}

// Leave announces that this daemon has left, ends the links in order, and
// waits until Run has returned or ctx ends; then everything is closed.
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
	for n.linked() && wait.For(ctx, leavePoll) {
	}
	n.Kill()
	return stepError("leave", "any", ctx.Err())
}

func (n *Node) linked() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.links) > 0
}
