package peer

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"knapweedshore.example/internal/member"
)

const (
	// connectTimeout bounds dialling and the TLS handshake together.
	connectTimeout = 3 * time.Second
	// callIdle is how long an unused connection for calls is kept: longer than
	// the pauses between a backup's exception batches.
	callIdle = 30 * time.Second
	// maxIncoming bounds the connections that others open to this daemon: in
	// the largest region each member may hold one for calls and one link.
	maxIncoming = 1024
)

// Node is a daemon's end of all links and calls. Methods are safe for
// concurrent use.
type Node struct {
	cfg   Config
	calls *drpcpool.Pool[member.Name, *drpcconn.Conn]

	changed  chan struct{} // the view has changed since the last look
	stopping chan struct{} // closed by Leave
	done     chan struct{} // closed when Run has returned
	group    conc.WaitGroup

	mu       sync.Mutex
	cancel   context.CancelFunc // set while running
	stopped  bool
	conns    map[*countedConn]bool // true for incoming ones
	incoming int
	links    map[*link]struct{}
	dialling map[netip.AddrPort]bool
	contacts []netip.AddrPort
}

// New returns a Node that does nothing until Run.
func New(cfg Config) (*Node, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg,
		calls: drpcpool.New[member.Name, *drpcconn.Conn](drpcpool.Options{
			Expiration: callIdle, KeyCapacity: 1,
		}),
		changed:  make(chan struct{}, 1),
		stopping: make(chan struct{}),
		done:     make(chan struct{}),
		conns:    make(map[*countedConn]bool),
		links:    make(map[*link]struct{}),
		dialling: make(map[netip.AddrPort]bool),
		contacts: cfg.Seeds,
	}
	cfg.Table.OnChange(func(*member.View) { n.wake() })
	cfg.Table.OnRecords(n.floodRecords)
	return n, nil
}

// wake lets the links follow a changed view.
func (n *Node) wake() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// Run serves and keeps the links until ctx ends, Kill or Leave. It can be
// called once. When ctx ends, the connections close without a farewell, so
// peers see a crash; Leave ends in order.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.mu.Lock()
	if n.stopped || n.cancel != nil {
		n.mu.Unlock()
		_ = n.cfg.Listener.Close()
		return ErrStopped
	}
	n.cancel = cancel
	n.mu.Unlock()
	defer close(n.done)

	n.group.Go(func() { n.accept(ctx) })
	n.group.Go(func() { n.keepLinks(ctx) })
	n.group.Go(func() { n.meetPeers(ctx) })
	if n.cfg.VMLister != nil {
		n.group.Go(func() { n.readDirectory(ctx) })
	}
	<-ctx.Done()
	n.closeAll()
	n.group.Wait()
	return wrap(n.calls.Close(), "close call connections")
}

// Kill closes the listener and all connections at once, without telling the
// peers, and waits until Run has returned.
func (n *Node) Kill() {
	n.mu.Lock()
	n.stopped = true
	cancel := n.cancel
	n.mu.Unlock()
	n.closeAll()
	if cancel == nil {
		return
	}
	cancel()
	<-n.done
}

// closeAll closes the listener and every connection.
func (n *Node) closeAll() {
	_ = n.cfg.Listener.Close()
	n.mu.Lock()
	n.stopped = true
	open := slices.Collect(maps.Keys(n.conns))
	n.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}

// track takes note of an open connection, so that closeAll reaches it. It
// refuses when the node has stopped or too many are open.
func (n *Node) track(c *countedConn, incoming bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped || incoming && n.incoming >= maxIncoming {
		return false
	}
	if incoming {
		n.incoming++
	}
	n.conns[c] = incoming
	return true
}

func (n *Node) untrack(c *countedConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[c] {
		n.incoming--
	}
	delete(n.conns, c)
}
