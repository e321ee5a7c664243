package exception

import (
	"context"
	"time"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/wait"
	"knapweedshore.example/peerapi"
)

// Manager moves exceptions to where their flows are owned when the members
// change.
type Manager struct {
	Table   *Table
	Sender  *Sender
	Peers   Peers
	Metrics *metrics.Registry
	// Pause replaces wait.For between the batches of a hand-over, for tests.
	Pause func(ctx context.Context, d time.Duration) bool
}

// Accept takes a batch from another daemon, which must be its owner or the one
// that hands it over.
func (k *Manager) Accept(self member.Member, from member.Name, b *peerapi.ExceptionBatch, now time.Time) *peerapi.ExceptionAck {
	if member.Name(b.GetOwner()) != from {
		k.Metrics.Refused(metrics.PeerNotMember)
		return &peerapi.ExceptionAck{Refused: uint32(len(b.GetAdded()))}
	}
	ack := Accept(k.Table, k.Sender, self, b, now)
	k.Metrics.Count(metrics.ExceptionsStored, int64(ack.GetStored()))
	return ack
}

// HandOver sends flows to the new owners of their slots: moved, which are this
// daemon's own, and the exceptions kept for owners that no longer serve.
func (k *Manager) HandOver(ctx context.Context, v *member.View, ownerOf func(slot uint32) member.Name, moved map[member.Name]Transfer, now time.Time) {
	for _, name := range k.Table.Owners() {
		if record, known := v.Get(name); known && record.Serves() && name != v.Self.Name {
			continue
		}
		for _, e := range k.Table.EntriesOf(name) {
			to := ownerOf(e.Slot)
			if name == v.Self.Name && to == name {
				continue
			}
			t := moved[to]
			t.Exceptions = append(t.Exceptions, e)
			moved[to] = t
		}
	}
	adopt(k.Table, k.Sender, v.Self, messages(moved[v.Self.Name].Exceptions), nil, now)
	delete(moved, v.Self.Name)
	delete(moved, "") // no member owns slots
	for to, t := range moved {
		k.transfer(ctx, v.Self, to, t)
	}
}

func (k *Manager) transfer(ctx context.Context, self member.Member, to member.Name, t Transfer) {
	pause := k.Pause
	if pause == nil {
		pause = wait.For
	}
	if err := HandOver(ctx, k.Peers, self, to, t, pause); err != nil {
		// The new owner still asks this daemon for unknown flows.
		k.Metrics.Retried(metrics.ExceptionResend)
		return
	}
	k.Metrics.Count(metrics.ExceptionsHandover, int64(len(t.Exceptions)+len(t.OnDefault)))
}

// DropStale forgets the exceptions of owners that no longer serve or have
// another backup now. It must not run before their flows have been handed over
// and the new owners have stopped asking.
func (k *Manager) DropStale(v *member.View) {
	for _, name := range k.Table.Owners() {
		if name == v.Self.Name {
			continue
		}
		record, known := v.Get(name)
		backup, _ := v.Backup(name)
		if !known || !record.Serves() || backup.Name != v.Self.Name {
			k.Table.RemoveOwner(name)
		}
	}
}
