package peer

import (
	"context"
	"io"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/peerapi"
)

const (
	// maxQueuedMessages limits the messages that are queued on one link. Heartbeats
	// are not queued.
	maxQueuedMessages = 256
	// maxMissedHeartbeats is the number of heartbeat intervals without a message
	// after which a link is replaced. A connection can go silent permanently while
	// new connections work.
	maxMissedHeartbeats = int32(member.SuspectAfter / member.HeartbeatInterval)
	// closeTimeout is how long a closing link waits for the peer to close its
	// direction. The connection is then closed, which looks like a crash to the
	// peer.
	closeTimeout = 2 * time.Second
)

// stream is the client or server side of a Link call.
type stream interface {
	Send(*peerapi.LinkMessage) error
	Recv() (*peerapi.LinkMessage, error)
	CloseSend() error
}

// link is one side of a Link call between ring neighbours.
type link struct {
	node     *Node
	stream   stream
	raw      *countingConn
	outbound bool
	peer     member.Name

	queue            chan *peerapi.LinkMessage
	resync           atomic.Bool   // send all records, because the peer may lack some
	missedHeartbeats atomic.Int32  // heartbeat intervals since the last message
	acked            atomic.Uint64 // newest incarnation of this daemon that the peer acknowledged
	stopping         chan struct{}
	stopOnce         sync.Once
}

func newLink(n *Node, s stream, raw *countingConn, outbound bool) *link {
	l := &link{
		node: n, stream: s, raw: raw, outbound: outbound,
		queue:    make(chan *peerapi.LinkMessage, maxQueuedMessages),
		stopping: make(chan struct{}),
	}
	l.resync.Store(true)
	return l
}

// serve runs the link from the hello to its end. It returns nil if the link was
// closed cleanly.
func (l *link) serve(ctx context.Context, id Identity) error {
	timer := time.AfterFunc(connectTimeout, l.abort)
	peerHello, err := l.exchangeHello(id)
	timer.Stop()
	if err != nil {
		l.node.reportRefusal(err)
		l.abort()
		return err
	}
	l.peer = peerHello.self.Name
	l.node.cfg.Table.Apply(l.peer, []member.Member{peerHello.self})
	l.node.addLink(l)
	// The hello carries no age. An age of maxAge does not confirm the version.
	l.node.cfg.Tables.ObserveVersion(l.peer, peerHello.tablesVersion, maxAge)
	err = l.readAndWrite()
	l.node.removeLink(l, err)
	return err
}

// exchangeHello sends this daemon's hello and validates the peer's. The dialling
// side sends first.
func (l *link) exchangeHello(id Identity) (hello, error) {
	send := func() error { return wrap(l.stream.Send(l.node.hello()), "send hello") }
	if l.outbound {
		if err := send(); err != nil {
			return hello{}, err
		}
	}
	first, err := l.stream.Recv()
	if err != nil {
		return hello{}, errors.Wrap(err, "receive hello")
	}
	h, err := checkHello(first, id, l.node.cfg.Table.View().Self.Region)
	if err == nil && h.self.Name == l.node.cfg.Credentials.Name {
		err = errors.New("daemon dialled itself")
	}
	if err != nil {
		return hello{}, err
	}
	if !l.outbound {
		err = send()
	}
	return h, err
}

// readAndWrite reads and writes until the link ends.
func (l *link) readAndWrite() error {
	var group conc.WaitGroup
	var writeErr error
	group.Go(func() {
		if writeErr = l.write(); writeErr != nil {
			l.abort()
		}
	})
	readErr := l.read()
	l.stop()
	group.Wait()
	switch {
	case errors.Is(readErr, io.EOF):
		return nil
	case writeErr != nil:
		return writeErr // the reader most likely failed because of it
	}
	return readErr
}

// stop closes the link cleanly, after the queued messages have been sent. It does not
// wait.
func (l *link) stop() { l.stopOnce.Do(func() { close(l.stopping) }) }

// abort closes the connection at once, so that pending reads and writes fail.
func (l *link) abort() { _ = l.raw.Close() }

// send queues a message without blocking. If the queue is full, the message is
// dropped, and all records are sent once the queue is empty. The peer detects a lost
// table change by the version in the heartbeats.
func (l *link) send(m *peerapi.LinkMessage) {
	select {
	case l.queue <- m:
	default:
		l.node.cfg.Metrics.Refused(metrics.LinkQueueFull)
		l.resync.Store(true)
	}
}

// write sends heartbeats and queued messages until the link stops.
func (l *link) write() error {
	ticker := time.NewTicker(member.HeartbeatInterval)
	defer ticker.Stop()
	var sequence uint64
	for {
		if err := l.sendAllRecords(); err != nil {
			return err
		}
		select {
		case <-l.stopping:
			return l.finish()
		case m := <-l.queue:
			for _, m := range l.coalesceRecords(m) {
				if err := l.stream.Send(m); err != nil {
					return errors.Wrap(err, "send")
				}
			}
		case <-ticker.C:
			if l.missedHeartbeats.Add(1) > maxMissedHeartbeats {
				return errors.Errorf("no message from peer for %d heartbeat intervals", maxMissedHeartbeats)
			}
			sequence++
			if err := l.stream.Send(l.node.heartbeat(l.peer, sequence)); err != nil {
				return errors.Wrap(err, "send heartbeat")
			}
		}
	}
}

// coalesceRecords combines m with the records that are queued behind it into one
// message, so that a burst of changes causes few messages and few new views at the
// peers. If it reads a message of another kind from the queue, it stops and returns
// that message as well.
func (l *link) coalesceRecords(m *peerapi.LinkMessage) []*peerapi.LinkMessage {
	if m.GetMembers() == nil || len(l.queue) == 0 {
		return []*peerapi.LinkMessage{m}
	}
	records := slices.Clone(m.GetMembers().GetRecords()) // the message is shared with other links
	for len(records) < recordsPerMessage {
		select {
		case next := <-l.queue:
			if next.GetMembers() == nil {
				return []*peerapi.LinkMessage{memberUpdate(records), next}
			}
			records = append(records, next.GetMembers().GetRecords()...)
			continue
		default:
		}
		break
	}
	return []*peerapi.LinkMessage{memberUpdate(records)}
}

// sendAllRecords sends all records if a resync is due and the queue is empty.
func (l *link) sendAllRecords() error {
	if len(l.queue) > 0 || !l.resync.Swap(false) {
		return nil
	}
	for _, m := range memberUpdates(l.node.cfg.Table.View().Members) {
		if err := l.stream.Send(m); err != nil {
			return errors.Wrap(err, "send all records")
		}
	}
	return nil
}

// finish sends the queued messages and closes this direction of the stream. The
// connection stays open until the peer has closed the other direction, because
// closing it earlier could discard messages that the peer has not read.
func (l *link) finish() error {
	for {
		select {
		case m := <-l.queue:
			if err := l.stream.Send(m); err != nil {
				return errors.Wrap(err, "send queued messages")
			}
			continue
		default:
		}
		time.AfterFunc(closeTimeout, l.abort)
		return wrap(l.stream.CloseSend(), "close stream")
	}
}

// read handles messages until the peer closes the stream or the connection fails. It
// returns io.EOF if the peer closed the stream.
func (l *link) read() error {
	for {
		m, err := l.stream.Recv()
		if err != nil {
			return err
		}
		l.missedHeartbeats.Store(0)
		l.handle(m)
	}
}
