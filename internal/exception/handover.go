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
	// handOverBatch bounds one message of a hand-over to about 12 KB.
	handOverBatch = 512
	// handOverBytesPerSecond paces a hand-over over all its receivers, below
	// the target of 25 KB a second for control.
	handOverBytesPerSecond = 20_000
)

// pauseAfter returns how long the entries of a batch use up the pace.
func pauseAfter(entries int) time.Duration {
	return time.Duration(entries) * entryBytes * time.Second / handOverBytesPerSecond
}

// Transfer is what a new owner needs to know of the flows in its slots.
type Transfer struct {
	// Exceptions are not on their default server.
	Exceptions []Entry
	// OnDefault are on their default server. Without them, a change of the
	// tables would make a quiet flow unknown to everybody.
	OnDefault []Entry
}

// batches splits the transfer into messages, exceptions first.
func (t Transfer) batches(self member.Member) []*peerapi.ExceptionBatch {
	var out []*peerapi.ExceptionBatch
	next := func() *peerapi.ExceptionBatch {
		b := &peerapi.ExceptionBatch{Owner: string(self.Name), Incarnation: self.Incarnation, Handover: true}
		out = append(out, b)
		return b
	}
	for chunk := range slices.Chunk(t.Exceptions, handOverBatch) {
		next().Added = messages(chunk)
	}
	for chunk := range slices.Chunk(t.OnDefault, handOverBatch) {
		next().OnDefault = messages(chunk)
	}
	return out
}

func messages(entries []Entry) []*peerapi.Exception {
	out := make([]*peerapi.Exception, 0, len(entries))
	for _, e := range entries {
		out = append(out, e.message())
	}
	return out
}

// HandOver sends the flows of moved slots to the member that owns them now.
func HandOver(ctx context.Context, peers Peers, self member.Member, to member.Name, t Transfer, pause func(context.Context, time.Duration) bool) error {
	for _, batch := range t.batches(self) {
		entries := len(batch.GetAdded()) + len(batch.GetOnDefault())
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := peers.PutExceptions(callCtx, to, batch)
		cancel()
		if err != nil {
			return errors.Wrapf(err, "hand over %d flows to %q", entries, to)
		}
		pause(ctx, pauseAfter(entries))
	}
	return nil
}

// Accept takes a batch from another daemon. Entries of a hand-over now belong
// to self.
func Accept(h *Table, s *Sender, self member.Member, b *peerapi.ExceptionBatch, now time.Time) *peerapi.ExceptionAck {
	var stored, refused int
	if b.GetHandover() {
		stored, refused = adopt(h, s, self, b.GetAdded(), b.GetOnDefault(), now)
	} else {
		stored, refused = h.Store(b, now)
	}
	return &peerapi.ExceptionAck{Stored: uint32(stored), Refused: uint32(refused)}
}

// adopt keeps the entries under the name of self. Its backup learns of the
// exceptions, and of the others when a change of the tables makes them so.
func adopt(h *Table, s *Sender, self member.Member, added, onDefault []*peerapi.Exception, now time.Time) (stored, refused int) {
	for _, m := range added {
		s.Add(entryOf(m), now)
	}
	return h.Store(&peerapi.ExceptionBatch{
		Owner: string(self.Name), Incarnation: self.Incarnation, Added: slices.Concat(added, onDefault),
	}, now)
}
