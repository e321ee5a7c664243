package tablesync

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
	standin "knapweedshore.example/standin/store"
)

// countingStore counts all calls, including failed ones.
type countingStore struct {
	store.Store
	calls atomic.Int64
}

func (s *countingStore) Get(ctx context.Context, key string) (store.Value, error) {
	s.calls.Add(1)
	return s.Store.Get(ctx, key)
}

func (s *countingStore) Watch(ctx context.Context, key string, after uint64) (store.Value, error) {
	s.calls.Add(1)
	return s.Store.Watch(ctx, key, after)
}

// noPeers implements Peers without any, so that every daemon depends on the store.
type noPeers struct{}

func (noPeers) Linked() []member.Name                           { return nil }
func (noPeers) FloodTables(tables.Version, []byte, member.Name) {}
func (noPeers) FetchTables(context.Context, member.Name, tables.Version) (*peerapi.FetchTablesResponse, error) {
	return nil, store.ErrUnavailable
}

// BenchmarkStoreCalls reports the calls of watchers to the store: at the start, without
// changes, for each change, during an outage and in the 5 s after it. It takes a minute
// and a half for each number of watchers.
//
//	go test -run '^$' -bench StoreCalls -benchtime 1x ./internal/tablesync
func BenchmarkStoreCalls(b *testing.B) {
	for _, watchers := range []int{6, 24} {
		b.Run(fmt.Sprint("watchers=", watchers), func(b *testing.B) {
			platform := standin.New(standin.Options{})
			counted := &countingStore{Store: platform.Memory()}
			head, revision := &tables.Head{}, uint64(0)
			commit := func() {
				d := change(head.Version + 1)
				if ids := head.WriteIDs; len(ids) > 0 {
					d.Previous = ids[len(ids)-1]
				}
				var err error
				head, err = head.Append(d)
				check(b, err)
				revision, err = platform.Memory().Swap(context.Background(), tables.HeadKey, head.Encode(), revision)
				check(b, err)
			}
			commit()
			ctx, cancel := context.WithCancel(context.Background())
			var group sync.WaitGroup
			for i := range watchers {
				startWatcher(ctx, b, &group, i, counted)
			}
			last := int64(0)
			report := func(unit string, scale float64) {
				calls := counted.calls.Load()
				b.ReportMetric(float64(calls-last)/float64(watchers)/scale, unit)
				last = calls
			}
			time.Sleep(startupWait + time.Second)
			report("start-calls", 1)
			time.Sleep(60 * time.Second)
			report("calm-calls/s", 60)
			for range 10 {
				commit()
				time.Sleep(300 * time.Millisecond)
			}
			report("calls/change", 10)
			platform.SetDown(true)
			time.Sleep(15 * time.Second)
			report("down-calls/s", 15)
			platform.SetDown(false)
			time.Sleep(5 * time.Second)
			report("after-calls/s", 5)
			b.ReportMetric(0, "ns/op")
			cancel()
			group.Wait()
		})
	}
}

// startWatcher starts a syncer that is a watcher, because it knows no other members.
func startWatcher(ctx context.Context, b *testing.B, group *sync.WaitGroup, i int, s store.Store) {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
	table, err := member.New(member.Config{Events: events.Discard(), Metrics: metrics.NewRegistry(), Self: member.Member{
		Name: member.Name(fmt.Sprint("vm-", i)), Region: "cartago", Zone: "z", Capacity: 1, Control: address, Data: address,
	}})
	check(b, err)
	syncer, err := New(Config{Members: table, Store: s, Events: events.Discard(), Metrics: metrics.NewRegistry()})
	check(b, err)
	group.Go(func() { _ = syncer.Run(ctx, noPeers{}) })
}
