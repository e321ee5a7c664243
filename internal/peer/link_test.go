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

// stuckStream is a stream whose peer does not read until it is released.
type stuckStream struct {
	release chan struct{}
	sent    []*peerapi.LinkMessage
}

func (s *stuckStream) Send(m *peerapi.LinkMessage) error {
	<-s.release
	s.sent = append(s.sent, m)
	return nil
}
func (s *stuckStream) Recv() (*peerapi.LinkMessage, error) { select {} }
func (s *stuckStream) CloseSend() error                    { return nil }

// Guards against a slow peer that holds up a flood or lets the queue grow, and
// against records that are lost for good when the queue was full.
func TestLinkQueueIsBounded(t *testing.T) {
	inMemory(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		n := c.start("a", "z1")
		s := &stuckStream{release: make(chan struct{})}
		l := newLink(n.Node, s, newCountedConn(nil, nil, nil), true)
		l.resync.Store(false)
		l.peer = "b"
		n.addLink(l)
		started := time.Now()
		for range 3 * queueLength {
			n.floodRecords([]member.Member{n.table.View().Self}, "")
		}
		is.Equal(time.Since(started), time.Duration(0)) // never blocked
		is.Equal(n.cfg.Metrics.Refusals().Value(metrics.LinkQueueFull), int64(2*queueLength))

		go func() { is.NoErr(l.write()) }()
		close(s.release)
		synctest.Wait()
		records := 0
		for _, m := range s.sent {
			records += len(m.GetMembers().GetRecords())
		}
		is.Equal(records, queueLength+1) // what was queued, and all records once
		is.Equal(len(s.sent), queueLength/recordsPerMessage+1)
		close(l.stopping)
		synctest.Wait()
		n.removeLink(l, nil)
	})
}
