package exception

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/peerapi"
)

// countingPeers counts the bytes of batches, without drpc and TLS.
type countingPeers struct{ bytes, batches int }

func (p *countingPeers) PutExceptions(_ context.Context, _ member.Name, b *peerapi.ExceptionBatch) (*peerapi.ExceptionAck, error) {
	p.bytes += proto.Size(b)
	p.batches++
	return &peerapi.ExceptionAck{}, nil
}

// benchEntry returns an entry with ids as large as in tables that have changed
// for years.
func benchEntry(i int) Entry {
	return Entry{Fingerprint: uint64(i) * 0x9E3779B97F4A7C15, Route: 1 << 18, Server: 1<<18 + 1, Slot: uint32(i) % (1 << 16)}
}

// BenchmarkBatchBytes reports the size of one batch of added and of closed
// entries.
func BenchmarkBatchBytes(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprint("entries=", n), func(b *testing.B) {
			added := &peerapi.ExceptionBatch{Owner: "tn-north-a-0001", Incarnation: 1 << 41}
			closed := proto.Clone(added).(*peerapi.ExceptionBatch)
			for i := range n {
				added.Added = append(added.Added, benchEntry(i+1<<20).message())
				closed.Closed = append(closed.Closed, uint64(i))
			}
			b.ReportMetric(float64(proto.Size(added)), "added-B")
			b.ReportMetric(float64(proto.Size(closed)), "closed-B")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkTraffic reports the traffic of one owner to its backup over 10
// minutes of simulated time, if every new flow would be an avoidable exception
// that lasts for 10 s.
func BenchmarkTraffic(b *testing.B) {
	const lifetime, duration = 10 * time.Second, 10 * time.Minute
	for _, budget := range []int{2048, 1 << 20} {
		for _, rate := range []int{29, 58, 115, 1000, 3000} {
			b.Run(fmt.Sprintf("budget=%d/newflows=%d", budget, rate), func(b *testing.B) {
				peers := &countingPeers{}
				s := NewSender(peers, metrics.NewRegistry(), budget, start)
				s.SetBackup(member.Member{Name: "tn-north-a-0001", Incarnation: 1 << 41}, "vm-b")
				added, ended, opened := []int{}, 0, 0
				for at := time.Duration(0); at < duration; at += BatchInterval {
					now := start.Add(at)
					for ; opened < int(at.Seconds()*float64(rate)); opened++ {
						if s.HasBudget(now) {
							s.Add(benchEntry(opened), now)
							added = append(added, opened)
						}
					}
					for ; ended < len(added) && float64(added[ended])/float64(rate) < (at-lifetime).Seconds(); ended++ {
						s.Close(benchEntry(added[ended]).Fingerprint)
					}
					s.Flush(context.Background(), now)
				}
				b.ReportMetric(float64(peers.bytes)/duration.Seconds(), "sent-B/s")
				b.ReportMetric(float64(peers.batches)/duration.Seconds(), "batches/s")
				b.ReportMetric(float64(len(added))/duration.Seconds(), "exceptions/s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkHandOver reports the bytes of a handover to one new owner, the time
// that its rate limit adds, and the time without it.
func BenchmarkHandOver(b *testing.B) {
	for _, flows := range []int{1000, 10_000} {
		b.Run(fmt.Sprint("flows=", flows), func(b *testing.B) {
			var t Transfer
			for i := range flows {
				t.OnDefault = append(t.OnDefault, benchEntry(i))
			}
			peers, paused := &countingPeers{}, time.Duration(0)
			for b.Loop() {
				err := HandOver(context.Background(), peers, self, "vm-b", t, func(_ context.Context, d time.Duration) bool { paused += d; return true })
				if err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(peers.bytes)/float64(b.N), "B")
			b.ReportMetric(float64(peers.batches)/float64(b.N), "batches")
			b.ReportMetric(paused.Seconds()/float64(b.N), "paced-s")
		})
	}
}

// BenchmarkTableMemory reports the memory per entry of a Table.
func BenchmarkTableMemory(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for _, entries := range []int{10_000, MaxEntries} {
		b.Run(fmt.Sprint("entries=", entries), func(b *testing.B) {
			before, t := heap(), NewTable(MaxEntries)
			for i := range entries {
				t.Store(&peerapi.ExceptionBatch{Owner: "vm-a", Incarnation: 1, Added: []*peerapi.Exception{benchEntry(i).message()}}, start)
			}
			b.ReportMetric((heap()-before)/float64(t.Len()), "B/entry")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(t)
		})
	}
}
