package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/wait"
	"knapweedshore.example/peerapi"
)

const (
	// initialRedialDelay is short enough to replace a silent connection before the
	// peer is declared dead.
	initialRedialDelay = 100 * time.Millisecond
	maxRedialDelay     = 5 * time.Second
)

// keepLinks keeps one outgoing link to each ring successor.
func (n *Node) keepLinks(ctx context.Context) {
	cancels := make(map[member.Name]context.CancelFunc)
	defer func() {
		for _, cancel := range cancels {
			cancel()
		}
	}()
	for {
		successors := make(map[member.Name]bool)
		for _, m := range n.cfg.Table.View().Successors() {
			successors[m.Name] = true
			if cancels[m.Name] == nil {
				linkCtx, cancel := context.WithCancel(ctx)
				cancels[m.Name] = cancel
				n.group.Go(func() { n.keepLink(ctx, linkCtx, m.Name) })
			}
		}
		for name, cancel := range cancels {
			if !successors[name] {
				cancel()
				delete(cancels, name)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-n.stopping:
			return
		case <-n.changed:
		}
	}
}

// keepLink keeps a link to one member until linkCtx ends, and then closes it cleanly.
// It redials with exponential backoff. If ctx ends, the link is aborted.
func (n *Node) keepLink(ctx, linkCtx context.Context, to member.Name) {
	backOff := backoff.NewExponentialBackOff()
	backOff.InitialInterval, backOff.MaxInterval, backOff.Multiplier = initialRedialDelay, maxRedialDelay, 2
	for linkCtx.Err() == nil {
		m, known := n.cfg.Table.View().Get(to)
		if !known {
			return
		}
		started := time.Now()
		err := n.openLink(ctx, linkCtx, m.Control, to)
		if time.Since(started) > member.SuspectAfter {
			backOff.Reset()
		}
		if err == nil || linkCtx.Err() != nil {
			// A peer that closed the link cleanly is leaving, or needed the link only
			// temporarily. It does not need a new one at once.
			wait.For(linkCtx, initialRedialDelay)
			continue
		}
		wait.For(linkCtx, backOff.NextBackOff())
	}
}

// openLink opens one outgoing link and serves it until it ends. If linkCtx ends, it
// closes the link cleanly. want is the member's name, or empty for a seed.
func (n *Node) openLink(ctx, linkCtx context.Context, to netip.AddrPort, want member.Name) error {
	label := peerLabel(want, to)
	conn, err := n.connect(linkCtx, to, want)
	if err != nil {
		n.reportRefusal(err)
		n.cfg.Metrics.Retried(metrics.LinkDial)
		return opError("dial", label, err)
	}
	defer func() { _ = conn.Close() }()
	stream, err := peerapi.NewDRPCPeerClient(conn).Link(ctx)
	if err != nil {
		n.cfg.Metrics.Retried(metrics.LinkDial)
		return opError("open link", label, err)
	}
	l := newLink(n, stream, conn.raw, true)
	defer context.AfterFunc(linkCtx, l.stop)()
	return opError("link", label, l.serve(ctx, conn.id))
}

// addLink registers a link, so that floods are sent on it.
func (n *Node) addLink(l *link) {
	n.mu.Lock()
	n.links[l] = struct{}{}
	n.mu.Unlock()
	n.cfg.Events.Log(events.LinkOpened, zap.String("peer", string(l.peer)), zap.Bool("outbound", l.outbound))
	select {
	case <-n.stopping:
		l.stop()
	default:
	}
}

// removeLink unregisters a link that ended with err. A nil err means that the link
// was closed cleanly. After the last one with a peer, the peer's silence no longer
// raises a suspicion.
func (n *Node) removeLink(l *link, err error) {
	n.mu.Lock()
	delete(n.links, l)
	stopped := n.stopped
	last := true
	for other := range n.links {
		last = last && other.peer != l.peer
	}
	n.mu.Unlock()
	if err == nil {
		if last {
			n.cfg.Table.HandleLinkClosed(l.peer)
		}
		return
	}
	if !stopped {
		n.cfg.Metrics.Retried(metrics.LinkBroken)
		n.cfg.Events.Log(events.LinkLost, zap.String("peer", string(l.peer)),
			zap.Bool("outbound", l.outbound), zap.Error(err))
	}
}
