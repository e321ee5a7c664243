package peer

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
	"go.uber.org/goleak"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/peerapi"
)

// Guards against goroutines that outlive a node.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against calls that fail over TCP, against errors that do not name the
// operation and the peer, and against operators who are refused.
func TestCallsOverTCP(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, nil)
	a, b := c.start("a", "z1"), c.start("b", "z2")
	within(t, 5*time.Second, "both members serve", func() bool { return allServe(c.nodes, c.nodes) })
	for range 3 {
		ack, err := a.PutExceptions(t.Context(), "b", &peerapi.ExceptionBatch{Added: make([]*peerapi.Exception, 2)})
		is.NoErr(err)
		is.Equal(ack.GetStored(), uint32(2))
	}
	fetched, err := a.FetchTables(t.Context(), "b", 41)
	is.NoErr(err)
	is.Equal(fetched.GetVersion(), uint64(42))

	operator, err := c.authority.Issue("operator", "any")
	is.NoErr(err)
	status, err := FetchStatus(t.Context(), operator, b.table.View().Self.Control)
	is.NoErr(err)
	is.Equal(status.GetSelf().GetName(), "b")
	is.True(b.cfg.Metrics.Totals().Value(metrics.ControlBytesSent) > 0)
	is.True(b.cfg.Metrics.Totals().Value(metrics.ControlBytesReceived) > 0)

	b.Kill()
	_, err = a.PutExceptions(t.Context(), "b", &peerapi.ExceptionBatch{})
	var opErr *Error
	is.True(errors.As(err, &opErr))
	is.Equal(opErr.Op, "put exceptions")
	is.Equal(opErr.Peer, "b")
	_, err = a.Status(t.Context(), "nobody")
	is.True(errors.Is(err, ErrUnknownPeer))
}

// Guards against exceptions that are accepted from a daemon that has left.
func TestExceptionsOfNonMembersAreRefused(t *testing.T) {
	inMemory(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		a, b := c.start("a", "z1"), c.start("b", "z1")
		within(t, 2*time.Second, "both members serve", func() bool { return allServe(c.nodes, c.nodes) })
		record := b.table.View().Self
		record.State = member.Left
		a.table.Apply("b", []member.Member{record})
		_, err := b.PutExceptions(t.Context(), "a", &peerapi.ExceptionBatch{})
		is.True(err != nil)
		is.Equal(a.cfg.Metrics.Refusals().Value(metrics.PeerNotMember), int64(1))
	})
}
