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
	// connectTimeout is the timeout of dialling and the TLS handshake together.
	connectTimeout = 3 * time.Second
	// callIdleTimeout is how long an unused connection for calls stays open. It is
	// longer than the intervals between exception batches to a backup.
	callIdleTimeout = 30 * time.Second
	// maxIncomingConns limits the incoming connections. It suffices if each member of
	// the largest region opens one for calls and one for a link.
	maxIncomingConns = 1024
)

// Node manages the links and calls of one daemon. It is safe for concurrent use.
type Node struct {
	cfg   Config
	calls *drpcpool.Pool[member.Name, *drpcconn.Conn]

	changed  chan struct{} // signals that the view has changed
	stopping chan struct{} // closed by Leave
	done     chan struct{} // closed when Run has returned
	group    conc.WaitGroup

	mu            sync.Mutex
	cancel        context.CancelFunc // set while running
	stopped       bool
	conns         map[*countingConn]bool // open connections, true for incoming ones
	incomingConns int
	links         map[*link]struct{}
	dialling      map[netip.AddrPort]bool // candidates that are being dialled
	seeds         []netip.AddrPort
}

// New returns a Node. Call Run to start it.
func New(cfg Config) (*Node, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg,
		calls: drpcpool.New[member.Name, *drpcconn.Conn](drpcpool.Options{
			Expiration: callIdleTimeout, KeyCapacity: 1,
		}),
		changed:  make(chan struct{}, 1),
		stopping: make(chan struct{}),
		done:     make(chan struct{}),
		conns:    make(map[*countingConn]bool),
		links:    make(map[*link]struct{}),
		dialling: make(map[netip.AddrPort]bool),
		seeds:    cfg.Seeds,
	}
	cfg.Table.OnChange(func(*member.View) { n.signalChange() })
	cfg.Table.OnRecords(n.floodRecords)
	return n, nil
}

// signalChange makes keepLinks follow a changed view. It does not block.
func (n *Node) signalChange() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// Run serves incoming connections and keeps the links until ctx ends, or Kill or
// Leave is called. It can be called only once. If ctx ends, the connections are
// closed without notice, which looks like a crash to the peers. Use Leave to shut
// down cleanly.
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
	n.group.Go(func() { n.discoverPeers(ctx) })
	if n.cfg.VMLister != nil {
		n.group.Go(func() { n.pollVMList(ctx) })
	}
	<-ctx.Done()
	n.closeAll()
	n.group.Wait()
	return wrap(n.calls.Close(), "close call connections")
}

// Kill closes the listener and all connections at once, without notice to the peers,
// and waits until Run has returned.
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
	conns := slices.Collect(maps.Keys(n.conns))
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}

// track registers an open connection, so that closeAll closes it. It returns false
// if the node has stopped, or if there are already maxIncomingConns incoming ones.
func (n *Node) track(c *countingConn, incoming bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped || incoming && n.incomingConns >= maxIncomingConns {
		return false
	}
	if incoming {
		n.incomingConns++
	}
	n.conns[c] = incoming
	return true
}

// untrack unregisters a connection that is closed.
func (n *Node) untrack(c *countingConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns[c] {
		n.incomingConns--
	}
	delete(n.conns, c)
}
