package exception

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/peerapi"
)

// fakePeers stores batches as the receiving daemons would.
type fakePeers struct {
	held map[member.Name]*Table
	err  error
	now  time.Time
}

func (f *fakePeers) PutExceptions(_ context.Context, to member.Name, b *peerapi.ExceptionBatch) (*peerapi.ExceptionAck, error) {
	if f.err != nil {
		return nil, f.err
	}
	stored, refused := f.held[to].Store(b, f.now)
	return &peerapi.ExceptionAck{Stored: uint32(stored), Refused: uint32(refused)}, nil
}

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	self  = member.Member{Name: "vm-a", Incarnation: 7}
)

func newPair(budget int) (*Sender, *fakePeers) {
	peers := &fakePeers{held: map[member.Name]*Table{"vm-b": NewTable(100), "vm-c": NewTable(100)}, now: start}
	s := NewSender(peers, metrics.NewRegistry(), budget, start)
	s.SetBackup(self, "vm-b")
	return s, peers
}

func entry(fp uint64) Entry { return Entry{Fingerprint: fp, Route: 1, Server: 2, Slot: 3} }

// Guards against a flow that ends within MinimumAge and still costs traffic or
// budget.
func TestShortFlowIsNeverSent(t *testing.T) {
	is := is.New(t)
	s, peers := newPair(100)
	for i := range uint64(1000) {
		s.Add(entry(i), start)
		s.Close(i)
	}
	s.Flush(context.Background(), start.Add(time.Second))
	is.Equal(peers.held["vm-b"].Len(), 0)
	is.True(s.HasBudget(start)) // closed flows gave their share back
}

// Guards against a backup that misses an exception after a failed call.
func TestFailedBatchIsSentAgain(t *testing.T) {
	is := is.New(t)
	s, peers := newPair(2048)
	s.Add(entry(1), start)
	peers.err = errors.New("connection reset")
	s.Flush(context.Background(), start.Add(time.Second))
	is.Equal(peers.held["vm-b"].Len(), 0)
	peers.err = nil
	s.Flush(context.Background(), start.Add(2*time.Second))
	_, ok := peers.held["vm-b"].Lookup(1)
	is.True(ok)
}

// Guards against a new backup that knows only the exceptions made after it was
// chosen, and against a closed flow that lives on there.
func TestNewBackupGetsAllOpenExceptions(t *testing.T) {
	is := is.New(t)
	s, peers := newPair(2048)
	s.Add(entry(1), start)
	s.Add(entry(2), start)
	s.Flush(context.Background(), start.Add(time.Second))
	is.Equal(peers.held["vm-b"].Len(), 2)
	s.Close(1)
	is.True(s.SetBackup(self, "vm-c"))
	s.Flush(context.Background(), start.Add(2*time.Second))
	is.Equal(peers.held["vm-c"].Len(), 1)
	_, ok := peers.held["vm-c"].Lookup(2)
	is.True(ok)
}

// Guards against a burst of exceptions, as after a table change, that exceeds
// the control budget in one interval.
func TestBurstIsPaced(t *testing.T) {
	is := is.New(t)
	s, peers := newPair(2048)
	for i := range uint64(90) {
		s.Add(entry(i), start)
	}
	now := start.Add(time.Second)
	s.Flush(context.Background(), now)
	perInterval := float64(2048) * BatchInterval.Seconds() * paceFactor
	is.True(float64(peers.held["vm-b"].Len()*entryBytes) <= perInterval)
	for range 10 {
		s.Flush(context.Background(), now)
	}
	is.Equal(peers.held["vm-b"].Len(), 90)
}

// Guards against avoidable exceptions after the budget is used up.
func TestBudgetEndsAvoidableExceptions(t *testing.T) {
	is := is.New(t)
	s, _ := newPair(100)
	for i := uint64(0); s.HasBudget(start); i++ {
		is.True(i < 1000) // the budget must end
		s.Add(entry(i), start)
	}
	is.True(!s.HasBudget(start.Add(100 * time.Millisecond)))
	is.True(s.HasBudget(start.Add(10 * time.Second)))
}

// Guards against a late batch of an owner's former life that overwrites what
// the restarted owner sent.
func TestOlderIncarnationIsRefused(t *testing.T) {
	is := is.New(t)
	h := NewTable(10)
	h.Store(&peerapi.ExceptionBatch{Owner: "vm-a", Incarnation: 8, Replace: true}, start)
	stored, refused := h.Store(&peerapi.ExceptionBatch{Owner: "vm-a", Incarnation: 7, Added: []*peerapi.Exception{entry(1).message()}}, start)
	is.Equal(stored, 0)
	is.Equal(refused, 1)
	is.Equal(h.Len(), 0)
}

// Guards against a flood of exceptions that exhausts the memory of a backup.
func TestHeldIsBounded(t *testing.T) {
	is := is.New(t)
	h := NewTable(10)
	var added []*peerapi.Exception
	for i := range uint64(11) {
		added = append(added, entry(i).message())
	}
	stored, refused := h.Store(&peerapi.ExceptionBatch{Owner: "vm-a", Added: added}, start)
	is.Equal(stored, 10)
	is.Equal(refused, 1)
}

// Guards against a new owner whose own crash loses exceptions handed to it.
func TestHandedOverEntriesReachTheNewOwnersBackup(t *testing.T) {
	is := is.New(t)
	s, peers := newPair(2048)
	h := NewTable(10)
	batch := &peerapi.ExceptionBatch{Owner: "vm-z", Incarnation: 99, Handover: true, Added: []*peerapi.Exception{entry(5).message()}}
	Accept(h, s, self, batch, start)
	_, ok := h.Lookup(5)
	is.True(ok)
	s.Flush(context.Background(), start.Add(time.Second))
	_, ok = peers.held["vm-b"].Lookup(5)
	is.True(ok)
	is.Equal(h.Prune(start.Add(EntryLifetime+time.Second)), []uint64{5})
}
