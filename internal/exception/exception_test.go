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

// fakePeers stores batches in the tables of the receivers, or fails with err.
type fakePeers struct {
	tables map[member.Name]*Table
	err    error
	now    time.Time
}

func (f *fakePeers) PutExceptions(_ context.Context, to member.Name, b *peerapi.ExceptionBatch) (*peerapi.ExceptionAck, error) {
	if f.err != nil {
		return nil, f.err
	}
	stored, refused := f.tables[to].Store(b, f.now)
	return &peerapi.ExceptionAck{Stored: uint32(stored), Refused: uint32(refused)}, nil
}

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	self  = member.Member{Name: "vm-a", Incarnation: 7}
)

// newSender returns a Sender with backup vm-b and a budget in bytes per second.
func newSender(budget int) (*Sender, *fakePeers) {
	peers := &fakePeers{tables: map[member.Name]*Table{"vm-b": NewTable(100), "vm-c": NewTable(100)}, now: start}
	s := NewSender(peers, metrics.NewRegistry(), budget, start)
	s.SetBackup(self, "vm-b")
	return s, peers
}

func entry(fp uint64) Entry { return Entry{Fingerprint: fp, Route: 1, Server: 2, Slot: 3} }

// Guards against traffic or budget spent on a flow that ends within MinAge.
func TestShortFlowIsNeverSent(t *testing.T) {
	is := is.New(t)
	s, peers := newSender(100)
	for i := range uint64(1000) {
		s.Add(entry(i), start)
		s.Close(i)
	}
	s.Flush(context.Background(), start.Add(time.Second))
	is.Equal(peers.tables["vm-b"].Len(), 0)
	is.True(s.HasBudget(start)) // the budget of closed flows was refunded
}

// Guards against a backup that misses an exception after a failed call.
func TestFailedBatchIsSentAgain(t *testing.T) {
	is := is.New(t)
	s, peers := newSender(2048)
	s.Add(entry(1), start)
	peers.err = errors.New("connection reset")
	s.Flush(context.Background(), start.Add(time.Second))
	is.Equal(peers.tables["vm-b"].Len(), 0)
	peers.err = nil
	s.Flush(context.Background(), start.Add(2*time.Second))
	_, ok := peers.tables["vm-b"].Lookup(1)
	is.True(ok)
}

// Guards against a new backup that receives only the exceptions added after it
// was chosen, or exceptions of flows that have closed.
func TestNewBackupGetsAllOpenExceptions(t *testing.T) {
	is := is.New(t)
	s, peers := newSender(2048)
	s.Add(entry(1), start)
	s.Add(entry(2), start)
	s.Flush(context.Background(), start.Add(time.Second))
	is.Equal(peers.tables["vm-b"].Len(), 2)
	s.Close(1)
	is.True(s.SetBackup(self, "vm-c"))
	s.Flush(context.Background(), start.Add(2*time.Second))
	is.Equal(peers.tables["vm-c"].Len(), 1)
	_, ok := peers.tables["vm-c"].Lookup(2)
	is.True(ok)
}

// Guards against a burst of exceptions, as after a table change, that exceeds
// the control budget in one interval.
func TestBurstIsPaced(t *testing.T) {
	is := is.New(t)
	s, peers := newSender(2048)
	for i := range uint64(90) {
		s.Add(entry(i), start)
	}
	now := start.Add(time.Second)
	s.Flush(context.Background(), now)
	perInterval := float64(2048) * BatchInterval.Seconds() * burstFactor
	is.True(float64(peers.tables["vm-b"].Len()*entryBytes) <= perInterval)
	for range 10 {
		s.Flush(context.Background(), now)
	}
	is.Equal(peers.tables["vm-b"].Len(), 90)
}

// Guards against more avoidable exceptions after the budget is used up.
func TestBudgetEndsAvoidableExceptions(t *testing.T) {
	is := is.New(t)
	s, _ := newSender(100)
	for i := uint64(0); s.HasBudget(start); i++ {
		is.True(i < 1000) // the budget must run out
		s.Add(entry(i), start)
	}
	is.True(!s.HasBudget(start.Add(100 * time.Millisecond)))
	is.True(s.HasBudget(start.Add(10 * time.Second)))
}

// Guards against a late batch, sent before an owner restarted, that overwrites
// what the restarted owner has sent.
func TestOlderIncarnationIsRefused(t *testing.T) {
	is := is.New(t)
	table := NewTable(10)
	table.Store(&peerapi.ExceptionBatch{Owner: "vm-a", Incarnation: 8, Replace: true}, start)
	stored, refused := table.Store(&peerapi.ExceptionBatch{Owner: "vm-a", Incarnation: 7, Added: []*peerapi.Exception{entry(1).message()}}, start)
	is.Equal(stored, 0)
	is.Equal(refused, 1)
	is.Equal(table.Len(), 0)
}

// Guards against a flood of exceptions that exhausts the memory of a backup.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	table := NewTable(10)
	var added []*peerapi.Exception
	for i := range uint64(11) {
		added = append(added, entry(i).message())
	}
	stored, refused := table.Store(&peerapi.ExceptionBatch{Owner: "vm-a", Added: added}, start)
	is.Equal(stored, 10)
	is.Equal(refused, 1)
}

// Guards against exceptions that are lost when the new owner crashes after they
// were handed over to it.
func TestHandedOverEntriesReachTheNewOwnersBackup(t *testing.T) {
	is := is.New(t)
	s, peers := newSender(2048)
	table := NewTable(10)
	batch := &peerapi.ExceptionBatch{Owner: "vm-z", Incarnation: 99, Handover: true, Added: []*peerapi.Exception{entry(5).message()}}
	Accept(table, s, self, batch, start)
	_, ok := table.Lookup(5)
	is.True(ok)
	s.Flush(context.Background(), start.Add(time.Second))
	_, ok = peers.tables["vm-b"].Lookup(5)
	is.True(ok)
	is.Equal(table.Prune(start.Add(EntryLifetime+time.Second)), []uint64{5})
}
