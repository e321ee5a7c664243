package exception

import (
	"context"
	"time"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/wait"
	"knapweedshore.example/peerapi"
)

// Manager accepts exceptions from other daemons and moves them to the new
// owners of their flows when the members change.
type Manager struct {
	Table   *Table
	Sender  *Sender
	Peers   Peers
	Metrics *metrics.Registry
	// Pause waits between the batches of a handover. Tests set it; nil stands
	// for wait.For.
	Pause func(ctx context.Context, d time.Duration) bool
}

// Accept stores a batch from another daemon. The batch is refused unless its
// sender is the daemon that it names as the owner of the flows or, for a
// handover, as the one that hands them over.
func (m *Manager) Accept(self member.Member, from member.Name, b *peerapi.ExceptionBatch, now time.Time) *peerapi.ExceptionAck {
	if member.Name(b.GetOwner()) != from {
		m.Metrics.Refused(metrics.PeerNotMember)
		return &peerapi.ExceptionAck{Refused: uint32(len(b.GetAdded()))}
	}
	ack := Accept(m.Table, m.Sender, self, b, now)
	m.Metrics.Count(metrics.ExceptionsStored, int64(ack.GetStored()))
	return ack
}

// HandOver sends flows to the new owners of their slots: this daemon's own
// flows, in moved, and the exceptions stored for owners that no longer serve.
// It modifies moved.
func (m *Manager) HandOver(ctx context.Context, v *member.View, ownerOf func(slot uint32) member.Name, moved map[member.Name]Transfer, now time.Time) {
	for _, name := range m.Table.Owners() {
		if record, known := v.Get(name); known && record.Serves() && name != v.Self.Name {
			continue
		}
		for _, e := range m.Table.EntriesOf(name) {
			to := ownerOf(e.Slot)
			if name == v.Self.Name && to == name {
				continue
			}
			t := moved[to]
			t.Exceptions = append(t.Exceptions, e)
			moved[to] = t
		}
	}
	acceptHandover(m.Table, m.Sender, v.Self, messages(moved[v.Self.Name].Exceptions), nil, now)
	delete(moved, v.Self.Name)
	delete(moved, "") // the key of flows whose slots have no owner
	for to, t := range moved {
		m.transfer(ctx, v.Self, to, t)
	}
}

// transfer sends one transfer to a new owner and counts the result.
func (m *Manager) transfer(ctx context.Context, self member.Member, to member.Name, t Transfer) {
	pause := m.Pause
	if pause == nil {
		pause = wait.For
	}
	if err := HandOver(ctx, m.Peers, self, to, t, pause); err != nil {
		// The new owner still asks this daemon about flows that it does not
		// know.
		m.Metrics.Retried(metrics.ExceptionResend)
		return
	}
	m.Metrics.Count(metrics.ExceptionsHandover, int64(len(t.Exceptions)+len(t.OnDefault)))
}

// DropStale deletes the exceptions of owners that no longer serve or that have
// another backup now. It must not run until their flows have been handed over
// and the new owners no longer ask this daemon about them.
func (m *Manager) DropStale(v *member.View) {
	for _, name := range m.Table.Owners() {
		if name == v.Self.Name {
			continue
		}
		record, known := v.Get(name)
		backup, _ := v.Backup(name)
		if !known || !record.Serves() || backup.Name != v.Self.Name {
			m.Table.RemoveOwner(name)
		}
	}
}
