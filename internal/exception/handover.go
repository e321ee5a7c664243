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
// to self: they are kept under its name and become exceptions of its own, so
// that its backup learns of them.
func Accept(h *Held, s *Sender, self member.Member, b *peerapi.ExceptionBatch, now time.Time) *peerapi.ExceptionAck {
	if b.GetHandover() {
		b.Owner, b.Incarnation, b.Replace = string(self.Name), self.Incarnation, false
		for _, m := range b.GetAdded() {
			s.Add(entryOf(m), now)
		}
	}
	stored, refused := h.Store(b, now)
	return &peerapi.ExceptionAck{Stored: uint32(stored), Refused: uint32(refused)}
}
