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

// Sizes of the design page's target.
const (
	benchFlows     = 500_000
	benchAddresses = 2_700
	benchServers   = 4_800
)

// benchOpening describes flow i: distinct callers, spread over all addresses
// and servers.
func benchOpening(t *Table, i int) OpenParams {
	var c [4]byte
	binary.BigEndian.PutUint32(c[:], 0x0a00_0000+uint32(i/4))
	end := func(net byte, n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, net, byte(n >> 8), byte(n)}), 443)
	}
	return OpenParams{
		Slot: uint32(i) * 2_654_435_761 >> 16, Caller: netip.AddrPortFrom(netip.AddrFrom4(c), uint16(i)),
		Address: tables.Address{AddrPort: end(250, i%benchAddresses), Protocol: tables.TCP},
		Route:   1, Server: 2, Endpoint: end(251, i%benchServers), State: TCPEstablished, Now: t.epoch,
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

func heap() uint64 {
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
		before := heap()
		t := benchTable(b)
		b.ReportMetric(float64(heap()-before)/benchFlows, "bytes/flow")
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

// BenchmarkLockTime reports the longest time that one shard lock is held: as
// the clock shows it, which includes the time that a busy machine gives to
// other processes, and in processor time of the thread.
func BenchmarkLockTime(b *testing.B) {
	t := benchTable(b)
	longest := func(b *testing.B, step func()) {
		runtime.LockOSThread() // thread time is meaningless across threads
		defer runtime.UnlockOSThread()
		var most, mostCPU time.Duration
		for b.Loop() {
			start, cpu := time.Now(), threadTime(b)
			step()
			mostCPU = max(mostCPU, threadTime(b)-cpu)
			most = max(most, time.Since(start))
		}
		b.ReportMetric(float64(most.Microseconds()), "max-µs")
		b.ReportMetric(float64(mostCPU.Microseconds()), "max-cpu-µs")
	}
	b.Run("EachOfShard", func(b *testing.B) {
		i := 0
		longest(b, func() {
			t.ShardAt(i % t.Shards()).Each(func(f *Flow) bool { return f.State() != 0 })
			i++
		})
	})
	b.Run("ExpireNone", func(b *testing.B) {
		longest(b, func() { t.Expire(t.epoch, ageBatch, func(*Shard, *Flow, AgeEvent) {}) })
	})
	b.Run("ExpireAll", func(b *testing.B) {
		longest(b, func() { t.Expire(t.epoch.Add(24*time.Hour), ageBatch, func(*Shard, *Flow, AgeEvent) {}) })
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
