package balancer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/forward"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/owner"
	"knapweedshore.example/peerapi"
)

// membersChanged applies a new view to the packet path at once, and leaves the
// handover to handoverLoop.
func (b *Balancer) membersChanged(v *member.View) {
	view := b.tracker.Update(v, time.Now())
	b.engine.SetView(view)
	b.policy.SetShare(float64(view.Map.Count(view.Self)) / owner.Slots)
	b.updateBackup(v)
	b.pendingHandovers.Add(1)
	select {
	case b.handoverDue <- struct{}{}:
	default:
		// A handover is already due and will use the newest view.
		b.pendingHandovers.Add(-1)
	}
}

// updateBackup chooses the backup that receives this daemon's exceptions.
func (b *Balancer) updateBackup(v *member.View) {
	backup, _ := v.Backup(v.Self.Name)
	if b.sender.SetBackup(v.Self, backup.Name) {
		b.log.Log(events.BackupChanged, zap.String("backup", string(backup.Name)))
	}
}

// handoverLoop hands exceptions over to the new owners of their slots after each
// change of the members. When the predecessor period is over, it drops the flows
// and exceptions that this daemon no longer needs.
func (b *Balancer) handoverLoop(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.handoverDue:
			b.handOver(ctx)
			b.pendingHandovers.Add(-1)
			timer.Reset(forward.PredecessorPeriod)
		case <-timer.C:
			b.engine.DropUnownedFlows(time.Now())
			b.exceptions.DropStale(b.members.View())
		}
	}
}

// handOver sends the exceptions of slots that have moved to the new owners.
func (b *Balancer) handOver(ctx context.Context) {
	b.exceptions.HandOver(ctx, b.members.View(), b.engine.Owner, b.engine.MovedFlows(), time.Now())
}

// StoreExceptions stores a batch of exceptions from another daemon.
func (b *Balancer) StoreExceptions(from member.Name, batch *peerapi.ExceptionBatch) *peerapi.ExceptionAck {
	return b.exceptions.Accept(b.members.View().Self, from, batch, time.Now())
}
