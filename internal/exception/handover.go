package exception

import (
	"context"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/peerapi"
)

const (
	// handoverBatchEntries bounds one message of a handover to about 12 KB.
	handoverBatchEntries = 512
	// handoverBytesPerSecond limits a handover to all its receivers together.
	// It is below the target of 25 KB/s for control traffic.
	handoverBytesPerSecond = 20_000
)

// pauseAfterBatch returns how long to wait after a batch with this many entries
// to stay within handoverBytesPerSecond.
func pauseAfterBatch(entries int) time.Duration {
	return time.Duration(entries) * entryBytes * time.Second / handoverBytesPerSecond
}

// Transfer holds the flows that a daemon hands over to the new owner of their
// slots.
type Transfer struct {
	// Exceptions holds the flows that are not on their default server.
	Exceptions []Entry
	// OnDefault holds the flows that are on their default server. The new owner
	// must know them because a later change of the tables may give an idle flow
	// another default server, and no daemon could then find its server.
	OnDefault []Entry
}

// batches splits the transfer into messages, with the exceptions first.
func (t Transfer) batches(self member.Member) []*peerapi.ExceptionBatch {
	var out []*peerapi.ExceptionBatch
	addBatch := func() *peerapi.ExceptionBatch {
		b := &peerapi.ExceptionBatch{Owner: string(self.Name), Incarnation: self.Incarnation, Handover: true}
		out = append(out, b)
		return b
	}
	for chunk := range slices.Chunk(t.Exceptions, handoverBatchEntries) {
		addBatch().Added = messages(chunk)
	}
	for chunk := range slices.Chunk(t.OnDefault, handoverBatchEntries) {
		addBatch().OnDefault = messages(chunk)
	}
	return out
}

// messages converts entries to their wire form.
func messages(entries []Entry) []*peerapi.Exception {
	out := make([]*peerapi.Exception, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.message())
	}
	return out
}

// HandOver sends the flows of a transfer to the new owner of their slots, which
// is the member named by to. It calls pause after each batch to limit its rate.
func HandOver(ctx context.Context, peers Peers, self member.Member, to member.Name, t Transfer, pause func(context.Context, time.Duration) bool) error {
	for _, batch := range t.batches(self) {
		entries := len(batch.GetAdded()) + len(batch.GetOnDefault())
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := peers.PutExceptions(callCtx, to, batch)
		cancel()
		if err != nil {
			return errors.Wrapf(err, "hand over %d flows to %q", entries, to)
		}
		pause(ctx, pauseAfterBatch(entries))
	}
	return nil
}

// Accept stores a batch from another daemon. The flows of a handover then
// belong to self.
func Accept(t *Table, s *Sender, self member.Member, b *peerapi.ExceptionBatch, now time.Time) *peerapi.ExceptionAck {
	var stored, refused int
	if b.GetHandover() {
		stored, refused = acceptHandover(t, s, self, b.GetAdded(), b.GetOnDefault(), now)
	} else {
		stored, refused = t.Store(b, now)
	}
	return &peerapi.ExceptionAck{Stored: uint32(stored), Refused: uint32(refused)}
}

// acceptHandover stores the entries with self as their owner. It also adds the
// exceptions to the sender, which sends them to the backup of self. The flows
// on their default server follow if a change of the tables makes them
// exceptions.
func acceptHandover(t *Table, s *Sender, self member.Member, added, onDefault []*peerapi.Exception, now time.Time) (stored, refused int) {
	for _, m := range added {
		s.Add(entryOf(m), now)
	}
	return t.Store(&peerapi.ExceptionBatch{
		Owner: string(self.Name), Incarnation: self.Incarnation, Added: slices.Concat(added, onDefault),
	}, now)
}
