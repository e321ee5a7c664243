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

// vm is a VM with its control plane.
type vm struct {
	*host
	name     member.Name
	capacity uint32

	table  *member.Table
	syncer *tablesync.Syncer
	node   *peer.Node
	logs   *observer.ObservedLogs

	running, frozen bool
	thawedAt        time.Time
	regressed       atomic.Bool // went back to a lower version
	cancel          context.CancelFunc
	goroutines      conc.WaitGroup
}

// stubHandler implements the calls of peers that no scenario needs.
type stubHandler struct{ table *member.Table }

func (h stubHandler) StoreExceptions(member.Name, *peerapi.ExceptionBatch) *peerapi.ExceptionAck {
	return &peerapi.ExceptionAck{}
}

func (h stubHandler) Status() *peerapi.StatusResponse {
	return &peerapi.StatusResponse{Self: h.table.View().Self.Record()}
}

// startVM builds and runs the control plane of a VM.
func (s *site) startVM(v *vm) error {
	core, logs := observer.New(zapcore.InfoLevel)
	logger, registry := events.New(zap.New(core)), metrics.NewRegistry()
	budget := store.NewBudget(vmStore{s.platform.Memory(), s.uplinks[v.zone], &v.gate},
		store.BudgetOptions{Metrics: registry})
	self := member.Member{Name: v.name, Region: s.region, Zone: v.zone, Control: v.address, Data: v.address,
		Capacity: v.capacity}
	var err error
	v.logs = logs
	if v.table, err = member.New(member.Config{Self: self, ExpectPeers: true, Events: logger, Metrics: registry}); err != nil {
		return err
	}
	// The table's loop of a frozen VM blocks here as soon as it suspects the
	// first silent peer.
	v.table.OnRecords(func([]member.Member, member.Name) { v.gate.wait() })
	if v.syncer, err = tablesync.New(tablesync.Config{Members: v.table, Store: budget, Events: logger, Metrics: registry}); err != nil {
		return err
	}
	v.syncer.OnChange(func(old, next *tables.Snapshot) {
		if old != nil && next.Version() <= old.Version() {
			v.regressed.Store(true)
		}
	})
	credentials, err := s.authority.Issue(v.name, s.region)
	if err != nil {
		return err
	}
	v.node, err = peer.New(peer.Config{
		Table: v.table, Tables: v.syncer, Handler: stubHandler{v.table}, Credentials: credentials,
		Listener: s.network.listen(v.host), Dial: s.network.dialFrom(v.host), Seeds: s.seeds(v.address),
		VMLister: budget, Events: logger, Metrics: registry,
	})
	if err != nil {
		return err
	}
	v.run()
	return nil
}

// run starts the goroutines of the control plane.
func (v *vm) run() {
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel, v.running = cancel, true
	v.goroutines.Go(func() { _ = v.node.Run(ctx) })
	v.goroutines.Go(func() { _ = v.table.Run(ctx) })
	v.goroutines.Go(func() { _ = v.syncer.Run(ctx, v.node) })
}

// kill stops the control plane without telling its peers.
func (v *vm) kill() {
	if !v.running {
		return
	}
	v.running, v.frozen = false, false
	v.gate.open()
	v.node.Kill()
	v.cancel()
	v.goroutines.Wait()
}

func (v *vm) freeze() {
	v.gate.close()
	v.frozen = true
}

func (v *vm) thaw() {
	v.thawedAt, v.frozen = time.Now(), false
	v.gate.open()
}

// eventCount returns how often an event was logged.
func (v *vm) eventCount(number int64) int {
	return v.logs.FilterField(zap.Int64("event", number)).Len()
}

// standingAcknowledged reports whether the VM became eligible after the last thaw
// because a peer acknowledged it.
func (v *vm) standingAcknowledged() bool {
	for _, e := range v.logs.FilterMessage(events.DaemonEligible.Message).All() {
		reason, _ := e.ContextMap()["reason"].(string)
		if !e.Time.Before(v.thawedAt) && strings.HasPrefix(reason, "acknowledged by ") {
			return true
		}
	}
	return false
}

// seeds returns the addresses of a VM's seeds, without its own address.
func (s *site) seeds(self netip.AddrPort) (out []netip.AddrPort) {
	for _, v := range s.vms[:seedCount] {
		if v.address != self {
			out = append(out, v.address)
		}
	}
	return out
}
