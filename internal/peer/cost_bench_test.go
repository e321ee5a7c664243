package peer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"knapweedshore.example/peerapi"
)

// BenchmarkControlCost measures the bytes, the CPU time and the memory that one
// daemon uses for members and links while nothing changes. ns/op is reported as 0,
// because the benchmark only waits.
//
//	go test -run '^$' -bench ControlCost -benchtime 1x ./internal/peer
func BenchmarkControlCost(b *testing.B) {
	const window = 15 * time.Second
	for _, members := range []int{4, 8, 16, 32} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			heap, stacks := memoryInUse()
			c := newCluster(b, nil)
			c.startZones(members, "z1", "z2", "z3")
			within(b, 20*time.Second, "all members serve", func() bool { return allServe(c.nodes, c.nodes) })
			time.Sleep(discoveryLinkDuration + time.Second) // until the discovery links are closed
			bytes, cpu, started := c.totalControlBytes(), cpuTime(b), time.Now()
			for range b.N {
				time.Sleep(window)
			}
			after, took := c.totalControlBytes(), time.Since(started).Seconds()
			daemonSeconds := took * float64(members)
			b.ReportMetric(float64(after[0]-bytes[0])/daemonSeconds, "sent-B/s")
			b.ReportMetric(float64(after[1]-bytes[1])/daemonSeconds, "received-B/s")
			b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/daemonSeconds, "core-%")
			heapNow, stacksNow := memoryInUse()
			b.ReportMetric((heapNow-heap)/float64(members)/1024, "heap-KB")
			b.ReportMetric((stacksNow-stacks)/float64(members)/1024, "stack-KB")
			links := 0
			for _, n := range c.nodes {
				links += n.linkCount()
			}
			b.ReportMetric(float64(links)/float64(members), "links")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// cpuTime returns the CPU time that the process has used in user and system mode.
func cpuTime(b *testing.B) time.Duration {
	var u unix.Rusage
	mustSucceed(b, unix.Getrusage(unix.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse returns the bytes in use on the heap and by stacks.
func memoryInUse() (heap, stacks float64) {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc), float64(m.StackInuse)
}

// BenchmarkBatchOnTheWire measures the bytes of one batch of exceptions and its
// acknowledgement, including drpc and TLS, and the CPU time of both daemons.
func BenchmarkBatchOnTheWire(b *testing.B) {
	for _, entries := range []int{1, 10, 100} {
		b.Run(fmt.Sprint("entries=", entries), func(b *testing.B) {
			c := newCluster(b, nil)
			c.startZones(2, "z1", "z2")
			within(b, 20*time.Second, "both members serve", func() bool { return allServe(c.nodes, c.nodes) })
			batch := &peerapi.ExceptionBatch{Owner: string(c.nodes[0].name), Incarnation: 1 << 41}
			for i := range entries {
				batch.Added = append(batch.Added, &peerapi.Exception{Fingerprint: uint64(i), RouteId: 1 << 18, ServerId: 1 << 18, Slot: 1 << 15})
			}
			put := func() {
				_, err := c.nodes[0].PutExceptions(b.Context(), c.nodes[1].name, batch)
				mustSucceed(b, err)
			}
			put() // opens the connection
			bytes, cpu := c.totalControlBytes(), cpuTime(b)
			for b.Loop() {
				put()
			}
			after := c.totalControlBytes()
			b.ReportMetric(float64(after[0]-bytes[0])/float64(b.N), "sent-B")
			b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())/float64(b.N), "cpu-µs")
		})
	}
}

// BenchmarkMemberChange measures the bytes and the CPU time that the crash of one
// member costs each other member, in addition to those of the same time without a
// change, which it measures first.
//
//	go test -run '^$' -bench MemberChange -benchtime 1x ./internal/peer
func BenchmarkMemberChange(b *testing.B) {
	const window = 8 * time.Second
	for _, members := range []int{8, 16, 32} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			c := newCluster(b, nil)
			c.startZones(members, "z1", "z2", "z3")
			within(b, 20*time.Second, "all members serve", func() bool { return allServe(c.nodes, c.nodes) })
			time.Sleep(discoveryLinkDuration + time.Second) // until the discovery links are closed
			var sent, cpu [2]float64
			for i := range sent {
				if i == 1 {
					c.nodes[members-1].Kill()
				}
				bytes, used := c.totalControlBytes(), cpuTime(b)
				time.Sleep(window)
				sent[i] = float64(c.totalControlBytes()[0] - bytes[0])
				cpu[i] = float64((cpuTime(b) - used).Microseconds())
			}
			others := float64(members - 1)
			remaining := others / float64(members) // share of the members that do not crash
			b.ReportMetric((sent[1]-sent[0]*remaining)/others, "extra-sent-B")
			b.ReportMetric((cpu[1]-cpu[0]*remaining)/others, "extra-cpu-µs")
			b.ReportMetric(0, "ns/op")
		})
	}
}
