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

// membersChanged gives the packet path a new view at once and leaves the
// hand-over to its own goroutine.
func (b *Balancer) membersChanged(v *member.View) {
	view := b.tracker.Update(v, time.Now())
	b.engine.SetView(view)
	b.policy.SetShare(float64(view.Map.Count(view.Self)) / owner.Slots)
	b.chooseBackup(v)
	b.unfinished.Add(1)
	select {
	case b.moved <- struct{}{}:
	default:
		// A hand-over is due already and will use the newest view.
		b.unfinished.Add(-1)
	}
}

func (b *Balancer) chooseBackup(v *member.View) {
	backup, _ := v.Backup(v.Self.Name)
	if b.sender.SetBackup(v.Self, backup.Name) {
		b.log.Log(events.BackupChanged, zap.String("backup", string(backup.Name)))
	}
}

// handOverLoop hands exceptions to the new owners of their slots after each
// change of the members, and forgets them when the predecessor period is over.
func (b *Balancer) handOverLoop(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-b.moved:
			b.handOver(ctx)
			b.unfinished.Add(-1)
			timer.Reset(forward.PredecessorPeriod)
		case <-timer.C:
			b.engine.DropUnownedFlows(time.Now())
			b.keeper.DropStale(b.members.View())
		}
	}
}

// handOver sends the exceptions of moved slots to their new owners.
func (b *Balancer) handOver(ctx context.Context) {
	b.keeper.HandOver(ctx, b.members.View(), b.engine.Owner, b.engine.MovedFlows(), time.Now())
}

// StoreExceptions takes a batch from another daemon.
func (b *Balancer) StoreExceptions(from member.Name, batch *peerapi.ExceptionBatch) *peerapi.ExceptionAck {
	return b.keeper.Accept(b.members.View().Self, from, batch, time.Now())
}
