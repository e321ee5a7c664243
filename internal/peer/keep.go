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
	// redialFirst lets a silent connection be replaced before the peer is
	// declared dead.
	redialFirst = 100 * time.Millisecond
	redialMax   = 5 * time.Second
)

// keepLinks keeps one outgoing link to each ring successor.
func (n *Node) keepLinks(ctx context.Context) {
	keepers := make(map[member.Name]context.CancelFunc)
	defer func() {
		for _, stop := range keepers {
			stop()
		}
	}()
	for {
		wanted := make(map[member.Name]bool)
		for _, m := range n.cfg.Table.View().Successors() {
			wanted[m.Name] = true
			if keepers[m.Name] == nil {
				keeping, stop := context.WithCancel(ctx)
				keepers[m.Name] = stop
				n.group.Go(func() { n.keepLink(ctx, keeping, m.Name) })
			}
		}
		for name, stop := range keepers {
			if !wanted[name] {
				stop()
				delete(keepers, name)
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

// keepLink links to one member, again and again with growing pauses, until
// keeping ends. The link then ends in order, and only ctx cuts it off.
func (n *Node) keepLink(ctx, keeping context.Context, to member.Name) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval, pause.Multiplier = redialFirst, redialMax, 2
	for keeping.Err() == nil {
		m, known := n.cfg.Table.View().Get(to)
		if !known {
			return
		}
		started := time.Now()
		err := n.link(ctx, keeping, m.Control, to)
		if time.Since(started) > member.SuspectAfter {
			pause.Reset()
		}
		if err == nil || keeping.Err() != nil {
			// A peer that closed in order is leaving, or has this daemon as a
			// temporary contact; it needs no quick second link.
			wait.For(keeping, redialFirst)
			continue
		}
		wait.For(keeping, pause.NextBackOff())
	}
}

// link opens one outgoing link and runs it until it fails, or in order until
// keeping ends.
func (n *Node) link(ctx, keeping context.Context, to netip.AddrPort, want member.Name) error {
	label := peerLabel(want, to)
	conn, err := n.connect(keeping, to, want)
	if err != nil {
		n.noteRefusal(err)
		n.cfg.Metrics.Retried(metrics.LinkDial)
		return stepError("dial", label, err)
	}
	defer func() { _ = conn.Close() }()
	stream, err := peerapi.NewDRPCPeerClient(conn).Link(ctx)
	if err != nil {
		n.cfg.Metrics.Retried(metrics.LinkDial)
		return stepError("open link", label, err)
	}
	l := newLink(n, stream, conn.raw, true)
	defer context.AfterFunc(keeping, l.stop)()
	return stepError("link", label, l.serve(ctx, conn.id))
}

// addLink makes the link a target of floods.
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

// removeLink forgets a link. A peer whose last link ended in order is no
// longer watched for silence.
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
