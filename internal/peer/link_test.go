package peer

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/peerapi"
)

// blockedStream is a stream on which Send blocks until release is closed.
type blockedStream struct {
	release chan struct{}
	sent    []*peerapi.LinkMessage
}

func (s *blockedStream) Send(m *peerapi.LinkMessage) error {
	<-s.release
	s.sent = append(s.sent, m)
	return nil
}
func (s *blockedStream) Recv() (*peerapi.LinkMessage, error) { select {} }
func (s *blockedStream) CloseSend() error                    { return nil }

// Guards against a slow peer that blocks a flood or lets the queue grow without
// limit, and against records that are never resent after the queue was full.
func TestLinkQueueIsBounded(t *testing.T) {
	inMemory(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		n := c.start("a", "z1")
		s := &blockedStream{release: make(chan struct{})}
		l := newLink(n.Node, s, newCountingConn(nil, nil, nil), true)
		l.resync.Store(false)
		l.peer = "b"
		n.addLink(l)
		started := time.Now()
		for range 3 * maxQueuedMessages {
			n.floodRecords([]member.Member{n.table.View().Self}, "")
		}
		is.Equal(time.Since(started), time.Duration(0)) // no flood blocked
		is.Equal(n.cfg.Metrics.Refusals().Value(metrics.LinkQueueFull), int64(2*maxQueuedMessages))

		go func() { is.NoErr(l.write()) }()
		close(s.release)
		synctest.Wait()
		records := 0
		for _, m := range s.sent {
			records += len(m.GetMembers().GetRecords())
		}
		is.Equal(records, maxQueuedMessages+1) // the queued records, and then all records once
		is.Equal(len(s.sent), maxQueuedMessages/recordsPerMessage+1)
		close(l.stopping)
		synctest.Wait()
		n.removeLink(l, nil)
	})
}
