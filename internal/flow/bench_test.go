package flow

import (
	"encoding/binary"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"knapweedshore.example/internal/packet"
	"knapweedshore.example/internal/tables"
)

// Numbers of flows, addresses and servers that the system is designed for.
const (
	benchFlows     = 500_000
	benchAddresses = 2_700
	benchServers   = 4_800
)

// benchOpening describes flow i. Callers are distinct, and flows are spread over all
// addresses and servers.
func benchOpening(t *Table, i int) OpenParams {
	var c [4]byte
	binary.BigEndian.PutUint32(c[:], 0x0a00_0000+uint32(i/4))
	endpoint := func(net byte, n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, net, byte(n >> 8), byte(n)}), 443)
	}
	return OpenParams{
		Slot: uint32(i) * 2_654_435_761 >> 16, Caller: netip.AddrPortFrom(netip.AddrFrom4(c), uint16(i)),
		Address: tables.Address{AddrPort: endpoint(250, i%benchAddresses), Protocol: tables.TCP},
		Route:   1, Server: 2, Endpoint: endpoint(251, i%benchServers), State: TCPEstablished, Now: t.epoch,
	}
}

func benchTable(b *testing.B) *Table {
	t := NewTable(benchFlows)
	for i := range benchFlows {
		o := benchOpening(t, i)
		if _, err := t.Shard(o.Slot).Open(o); err != nil {
			b.Fatal(err)
		}
	}
	return t
}

func heapAlloc() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory reports the memory of a full table with its indexes and
// interned values.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := heapAlloc()
		t := benchTable(b)
		b.ReportMetric(float64(heapAlloc()-before)/benchFlows, "bytes/flow")
		runtime.KeepAlive(t)
	}
}

func BenchmarkLookup(b *testing.B) {
	t := benchTable(b)
	const n = 1 << 16
	o := make([]OpenParams, n)
	for i := range o {
		o[i] = benchOpening(t, i*7%benchFlows)
	}
	b.Run("Forward", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			p := &o[i%n]
			s := t.Shard(p.Slot)
			s.Lock()
			if s.Forward(p.Caller, p.Address) == nil {
				b.Fatal("flow is missing")
			}
			s.Unlock()
		}
	})
	b.Run("ReverseAndObserve", func(b *testing.B) {
		info := packet.Info{TCPFlags: packet.FlagACK, PayloadLen: 100}
		now := t.epoch.Add(time.Second)
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			p := &o[i%n]
			s := t.Shard(p.Slot)
			s.Lock()
			f := s.Reverse(p.Caller, tables.TCP, p.Endpoint)
			if f == nil {
				b.Fatal("flow is missing")
			}
			f.Observe(FromServer, &info, now)
			s.Unlock()
		}
	})
	b.Run("CloseAndOpen", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			p := &o[i%n]
			s := t.Shard(p.Slot)
			s.Lock()
			s.Close(s.Forward(p.Caller, p.Address))
			if _, err := s.Open(*p); err != nil {
				b.Fatal(err)
			}
			s.Unlock()
		}
	})
}

// BenchmarkLockTime reports the longest time for which one shard lock is held: in
// wall-clock time, which on a busy machine includes other processes, and in
// processor time of the thread.
func BenchmarkLockTime(b *testing.B) {
	t := benchTable(b)
	reportMax := func(b *testing.B, step func()) {
		runtime.LockOSThread() // thread time is meaningless across threads
		defer runtime.UnlockOSThread()
		var maxWall, maxCPU time.Duration
		for b.Loop() {
			start, cpu := time.Now(), threadTime(b)
			step()
			maxCPU = max(maxCPU, threadTime(b)-cpu)
			maxWall = max(maxWall, time.Since(start))
		}
		b.ReportMetric(float64(maxWall.Microseconds()), "max-µs")
		b.ReportMetric(float64(maxCPU.Microseconds()), "max-cpu-µs")
	}
	b.Run("EachOfShard", func(b *testing.B) {
		i := 0
		reportMax(b, func() {
			t.ShardAt(i % t.Shards()).Each(func(f *Flow) bool { return f.State() != 0 })
			i++
		})
	})
	b.Run("ExpireNone", func(b *testing.B) {
		reportMax(b, func() { t.Expire(t.epoch, ageBatch, func(*Shard, *Flow, AgeEvent) {}) })
	})
	b.Run("ExpireAll", func(b *testing.B) {
		reportMax(b, func() { t.Expire(t.epoch.Add(24*time.Hour), ageBatch, func(*Shard, *Flow, AgeEvent) {}) })
	})
}

func threadTime(b *testing.B) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		b.Fatal(err)
	}
	return time.Duration(ts.Nano())
}

func BenchmarkFingerprint(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		Fingerprint(caller, service)
	}
}
