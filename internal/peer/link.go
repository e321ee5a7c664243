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
	// queueLength bounds the messages that wait on one link. The heartbeats
	// are not queued.
	queueLength = 256
	// missedLimit is the number of heartbeat intervals without a message after
	// which a link is given up: connections can go silent for good while new
	// ones work.
	missedLimit = int32(member.SuspectAfter / member.HeartbeatInterval)
	// farewellWait bounds the wait for the peer at the end of a link. An end
	// that is cut off looks like a crash to the peer.
	farewellWait = 2 * time.Second
)

// stream is either end of a Link call.
type stream interface {
	Send(*peerapi.LinkMessage) error
	Recv() (*peerapi.LinkMessage, error)
	CloseSend() error
}

// link is one end of a Link call with a ring neighbour.
type link struct {
	node     *Node
	stream   stream
	raw      *countedConn
	outbound bool
	peer     member.Name

	queue    chan *peerapi.LinkMessage
	resync   atomic.Bool   // the peer lacks records: send all of them
	missed   atomic.Int32  // heartbeat intervals since the last message
	acked    atomic.Uint64 // newest own incarnation that the peer acknowledged
	stopping chan struct{}
	stopOnce sync.Once
}

func newLink(n *Node, s stream, raw *countedConn, outbound bool) *link {
	l := &link{
		node: n, stream: s, raw: raw, outbound: outbound,
		queue:    make(chan *peerapi.LinkMessage, queueLength),
		stopping: make(chan struct{}),
	}
	l.resync.Store(true)
	return l
}

// serve runs the link from hello to end. A nil error means that it ended in
// order.
func (l *link) serve(ctx context.Context, id Identity) error {
	timer := time.AfterFunc(connectTimeout, l.abort)
	self, err := l.exchangeHello(id)
	timer.Stop()
	if err != nil {
		l.node.noteRefusal(err)
		l.abort()
		return err
	}
	l.peer = self.self.Name
	l.node.cfg.Table.Apply(l.peer, []member.Member{self.self})
	l.node.addLink(l)
	// The hello says nothing about the age, so it confirms no version.
	l.node.cfg.Tables.ObserveVersion(l.peer, self.version, maxAge)
	err = l.exchange()
	l.node.removeLink(l, err)
	return err
}

// exchangeHello sends the own hello and checks the peer's. The dialling side
// speaks first.
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
		err = errors.New("link to this daemon itself")
	}
	if err != nil {
		return hello{}, err
	}
	if !l.outbound {
		err = send()
	}
	return h, err
}

// exchange reads and writes until the link ends.
func (l *link) exchange() error {
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
		return writeErr // most likely the reader failed because of it
	}
	return readErr
}

// stop ends the link in order: what is queued is still sent.
func (l *link) stop() { l.stopOnce.Do(func() { close(l.stopping) }) }

// abort closes the connection, which ends all reads and writes.
func (l *link) abort() { _ = l.raw.Close() }

// send queues a message. If the queue is full the message is dropped, and the
// peer gets all records once the queue has drained; lost table changes are
// noticed by the version in the heartbeats.
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
			return l.farewell()
		case m := <-l.queue:
			for _, m := range l.joinRecords(m) {
				if err := l.stream.Send(m); err != nil {
					return errors.Wrap(err, "send")
				}
			}
		case <-ticker.C:
			if l.missed.Add(1) > missedLimit {
				return errors.Errorf("peer was silent for %d heartbeats", missedLimit)
			}
			sequence++
			if err := l.stream.Send(l.node.heartbeat(l.peer, sequence)); err != nil {
				return errors.Wrap(err, "send heartbeat")
			}
		}
	}
}

// joinRecords puts the records that are queued behind m into one message, so
// that a burst of changes costs peers few messages and few new views. It also
// returns the message of another kind at which it stopped.
func (l *link) joinRecords(m *peerapi.LinkMessage) []*peerapi.LinkMessage {
	if m.GetMembers() == nil || len(l.queue) == 0 {
		return []*peerapi.LinkMessage{m}
	}
	records := slices.Clone(m.GetMembers().GetRecords()) // other links share the message
	for len(records) < recordsPerMessage {
		select {
		case next := <-l.queue:
			if next.GetMembers() == nil {
				return []*peerapi.LinkMessage{recordMessage(records), next}
			}
			records = append(records, next.GetMembers().GetRecords()...)
			continue
		default:
		}
		break
	}
	return []*peerapi.LinkMessage{recordMessage(records)}
}

// sendAllRecords sends every record if the peer lacks some.
func (l *link) sendAllRecords() error {
	if len(l.queue) > 0 || !l.resync.Swap(false) {
		return nil
	}
	for _, m := range recordMessages(l.node.cfg.Table.View().Members) {
		if err := l.stream.Send(m); err != nil {
			return errors.Wrap(err, "send all records")
		}
	}
	return nil
}

// farewell sends what is queued and closes this direction. The connection is
// closed by the reader once the peer has closed the other direction, because
// closing it earlier could destroy messages that the peer has not read.
func (l *link) farewell() error {
	for {
		select {
		case m := <-l.queue:
			if err := l.stream.Send(m); err != nil {
				return errors.Wrap(err, "send last messages")
			}
			continue
		default:
		}
		time.AfterFunc(farewellWait, l.abort)
		return wrap(l.stream.CloseSend(), "close link")
	}
}

// read handles messages until the peer closes or the connection fails.
func (l *link) read() error {
	for {
		m, err := l.stream.Recv()
		if err != nil {
			return err
		}
		l.missed.Store(0)
		l.handle(m)
	}
}
