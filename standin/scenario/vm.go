package scenario

import (
	"context"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/peer"
	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/internal/tablesync"
	"knapweedshore.example/peerapi"
)

// vm is one VM with its control plane.
type vm struct {
	*host
	name     member.Name
	capacity uint32

	table  *member.Table
	syncer *tablesync.Syncer
	node   *peer.Node
	logs   *observer.ObservedLogs

	alive, frozen bool
	thawed        time.Time
	reverted      atomic.Bool // it went back to a lower version
	stop          context.CancelFunc
	group         conc.WaitGroup
}

// handler answers calls that no scenario makes.
type handler struct{ table *member.Table }

func (h handler) StoreExceptions(member.Name, *peerapi.ExceptionBatch) *peerapi.ExceptionAck {
	return &peerapi.ExceptionAck{}
}

func (h handler) Status() *peerapi.StatusResponse {
	return &peerapi.StatusResponse{Self: h.table.View().Self.Record()}
}

// startVM builds and runs the control plane of a VM.
func (s *site) startVM(v *vm) error {
	core, logs := observer.New(zapcore.InfoLevel)
	logger, registry := events.New(zap.New(core)), metrics.NewRegistry()
	budget := store.NewBudget(vmStore{s.platform.Memory(), s.uplinks[v.zone], &v.paused},
		store.BudgetOptions{Metrics: registry})
	self := member.Member{Name: v.name, Region: s.region, Zone: v.zone, Control: v.address, Data: v.address,
		Capacity: v.capacity}
	var err error
	v.logs = logs
	if v.table, err = member.New(member.Config{Self: self, ExpectPeers: true, Events: logger, Metrics: registry}); err != nil {
		return err
	}
	// A paused VM holds up the table's loop here, as soon as the loop suspects
	// the first silent peer.
	v.table.OnRecords(func([]member.Member, member.Name) { v.paused.pass() })
	if v.syncer, err = tablesync.New(tablesync.Config{Members: v.table, Store: budget, Events: logger, Metrics: registry}); err != nil {
		return err
	}
	v.syncer.OnChange(func(old, next *tables.Snapshot) {
		if old != nil && next.Version() <= old.Version() {
			v.reverted.Store(true)
		}
	})
	credentials, err := s.authority.Issue(v.name, s.region)
	if err != nil {
		return err
	}
	v.node, err = peer.New(peer.Config{
		Table: v.table, Tables: v.syncer, Handler: handler{v.table}, Credentials: credentials,
		Listener: s.network.listen(v.host), Dial: s.network.dialFrom(v.host), Seeds: s.contacts(v.address),
		VMLister: budget, Events: logger, Metrics: registry,
	})
	if err != nil {
		return err
	}
	v.run()
	return nil
}

func (v *vm) run() {
	ctx, cancel := context.WithCancel(context.Background())
	v.stop, v.alive = cancel, true
	v.group.Go(func() { _ = v.node.Run(ctx) })
	v.group.Go(func() { _ = v.table.Run(ctx) })
	v.group.Go(func() { _ = v.syncer.Run(ctx, v.node) })
}

// end stops the control plane without a farewell.
func (v *vm) end() {
	if !v.alive {
		return
	}
	v.alive, v.frozen = false, false
	v.paused.open()
	v.node.Kill()
	v.stop()
	v.group.Wait()
}

func (v *vm) freeze() {
	v.paused.close()
	v.frozen = true
}

func (v *vm) thaw() {
	v.thawed, v.frozen = time.Now(), false
	v.paused.open()
}

// logged returns how often an event was logged.
func (v *vm) logged(number int64) int {
	return v.logs.FilterField(zap.Int64("event", number)).Len()
}

// acknowledged reports whether a peer gave the standing back after the last
// thaw.
func (v *vm) acknowledged() bool {
	for _, e := range v.logs.FilterMessage(events.DaemonEligible.Message).All() {
		reason, _ := e.ContextMap()["reason"].(string)
		if !e.Time.Before(v.thawed) && strings.HasPrefix(reason, "acknowledged by ") {
			return true
		}
	}
	return false
}

func (s *site) contacts(self netip.AddrPort) (out []netip.AddrPort) {
	for _, v := range s.vms[:contactCount] {
		if v.address != self {
			out = append(out, v.address)
		}
	}
	return out
}
