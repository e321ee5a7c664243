package exception

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/peerapi"
)

// handOverBatch bounds one hand-over message to about 12 KB.
const handOverBatch = 512

// HandOver sends exceptions to the member that now owns their slots.
func HandOver(ctx context.Context, peers Peers, self member.Member, to member.Name, entries []Entry) error {
	for start := 0; start < len(entries); start += handOverBatch {
		end := min(start+handOverBatch, len(entries))
		batch := &peerapi.ExceptionBatch{
			Owner:       string(self.Name),
			Incarnation: self.Incarnation,
			Handover:    true,
		}
		for _, e := range entries[start:end] {
			batch.Added = append(batch.Added, e.message())
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		_, err := peers.PutExceptions(callCtx, to, batch)
		cancel()
		if err != nil {
			return errors.Wrapf(err, "hand over %d exceptions to %q", end-start, to)
		}
	}
	return nil
}

// Accept takes a batch from another daemon. Entries of a hand-over now belong
// to self.
func Accept(h *Held, s *Sender, self member.Member, b *peerapi.ExceptionBatch, now time.Time) *peerapi.ExceptionAck {
	if b.GetHandover() {
		return adopt(h, s, self, b.GetAdded(), now)
	}
	stored, refused := h.Store(b, now)
	return &peerapi.ExceptionAck{Stored: uint32(stored), Refused: uint32(refused)}
}

// Adopt makes entries that were kept for another owner those of self.
func Adopt(h *Held, s *Sender, self member.Member, entries []Entry, now time.Time) {
	messages := make([]*peerapi.Exception, 0, len(entries))
	for _, e := range entries {
		messages = append(messages, e.message())
	}
	adopt(h, s, self, messages, now)
}

// adopt keeps the entries under the name of self and adds them to its own
// exceptions, so that its backup learns of them.
func adopt(h *Held, s *Sender, self member.Member, added []*peerapi.Exception, now time.Time) *peerapi.ExceptionAck {
	for _, m := range added {
		s.Add(entryOf(m), now)
	}
	own := &peerapi.ExceptionBatch{Owner: string(self.Name), Incarnation: self.Incarnation, Added: added}
	stored, refused := h.Store(own, now)
	return &peerapi.ExceptionAck{Stored: uint32(stored), Refused: uint32(refused)}
}
