package member

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
)

// BenchmarkRecords measures the memory that a table with the records of one region
// uses, and the time to apply one changed record.
func BenchmarkRecords(b *testing.B) {
	record := func(i int) Member {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 6081)
		return Member{Name: Name(fmt.Sprintf("tn-north-a-%04d", i)), Region: "tn-north", Zone: fmt.Sprint("tn-north-", i%4),
			Control: address, Data: address, Capacity: 100, Incarnation: uint64(time.Now().UnixMilli())}
	}
	for _, members := range []int{8, 65, 260} {
		b.Run(fmt.Sprint("members=", members), func(b *testing.B) {
			heap := func() float64 {
				runtime.GC()
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				return float64(m.HeapAlloc)
			}
			const copies = 50 // one table is too small for a heap measurement
			before, tables := heap(), make([]*Table, copies)
			for c := range tables {
				t, err := New(Config{Self: record(0), Events: events.Discard(), Metrics: metrics.NewRegistry()})
				if err != nil {
					b.Fatal(err)
				}
				var others []Member
				for i := 1; i < members; i++ {
					others = append(others, record(i))
				}
				t.Apply("", others)
				tables[c] = t
			}
			memory := (heap() - before) / copies
			changed := record(1)
			b.ReportAllocs()
			for b.Loop() {
				changed.Incarnation++
				tables[0].Apply("", []Member{changed})
			}
			b.ReportMetric(memory/1024, "heap-KB")
			runtime.KeepAlive(tables)
		})
	}
}
