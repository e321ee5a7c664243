package forward

import (
	"fmt"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"knapweedshore.example/internal/carrier"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/exception"
	"knapweedshore.example/internal/flow"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/packet"
	"knapweedshore.example/internal/selection"
	"knapweedshore.example/internal/tables"
)

// Numbers of addresses and servers that the system is designed for, and a ninth
// of them.
const (
	targetAddresses, targetServers = 2700, 4800
	smallAddresses, smallServers   = 300, 540
	benchPoolSize                  = 15
	benchPackets                   = 1 << 16 // number of flows that have a packet in a benchmark
)

// benchTables returns tables with pools of benchPoolSize servers. Every second
// server of the first changed pools has twice the default weight.
func benchTables(b *testing.B, v tables.Version, addresses, servers, changed int) *tables.Snapshot {
	endpoint := func(net byte, n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, net, byte(n >> 8), byte(n)}), 443)
	}
	pools := make([]tables.Pool, servers/benchPoolSize)
	for i := range pools {
		pools[i].Name = fmt.Sprintf("pool-%04d", i)
		for j := range benchPoolSize {
			n := i*benchPoolSize + j
			s := tables.Server{ID: tables.ServerID(100_000 + n), Name: fmt.Sprint("s", n), Endpoint: endpoint(1, n), Zone: "zone-0"}.WithDefaults()
			if i < changed {
				s.Weight = tables.DefaultWeight * uint32(1+j%2)
			}
			pools[i].Servers = append(pools[i].Servers, s)
		}
	}
	routes := make([]tables.Route, addresses)
	for i := range routes {
		routes[i] = tables.Route{ID: tables.RouteID(1 + i), Name: fmt.Sprintf("route-%04d", i),
			Address: tables.Address{AddrPort: endpoint(2, i), Protocol: tables.TCP}, Pool: pools[i%len(pools)].Name}
	}
	s, err := tables.NewSnapshot(v, routes, pools)
	if err != nil {
		b.Fatal(err)
	}
	return s
}

// benchRig is the engine of one of several members, with established flows.
type benchRig struct {
	*Engine
	b         *testing.B
	tables    *tables.Snapshot
	now       time.Time
	view      *View
	next      int // index of the next caller to try
	requests  [][]byte
	responses [][]byte
	unowned   [][]byte // requests of slots that other members own
}

// newBenchRig returns a benchRig with this number of members, established
// flows, addresses and servers.
func newBenchRig(b *testing.B, members, flows, addresses, servers int) *benchRig {
	r := &benchRig{b: b, now: time.Now(), tables: benchTables(b, 1, addresses, servers, 0)}
	chooser, registry := selection.NewChooser(r.now, nil), metrics.NewRegistry()
	chooser.SetShare(1 / float64(members))
	r.Engine = New(Config{
		Flows: flow.NewTable(flows + benchPackets), Policy: chooser, Received: exception.NewTable(1000),
		Local: exception.NewSender(nil, registry, 2048, r.now), Metrics: registry, Log: events.Discard(),
		Fabrics: []netip.AddrPort{fabricAddr}, NewFlowRate: 1e9,
	})
	var records []member.Member
	for i := range members {
		data := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(i >> 8), byte(i)}), 6081)
		records = append(records, member.Member{Name: member.Name(fmt.Sprint("vm-", i)), Zone: fmt.Sprint("zone-", i%4), Data: data, Capacity: 100, Incarnation: 1})
	}
	r.view = NewTracker().Update(member.NewView(records[0], records, true), r.now)
	r.SetView(r.view)
	r.ApplyTables(r.tables, r.now)
	r.now = r.now.Add(time.Minute) // longer than selection.SlowStartWindow
	for range flows {
		r.establish(r.caller(true))
	}
	for len(r.unowned) < min(flows, benchPackets) && members > 1 {
		c := r.caller(false)
		r.unowned = append(r.unowned, segment(c, r.service(c), packet.FlagACK, 64))
	}
	return r
}

// caller returns the next caller whose slot this member owns, or does not own.
func (r *benchRig) caller(own bool) netip.AddrPort {
	for {
		n := r.next
		r.next++
		c := netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, byte(n >> 24), byte(n >> 16), byte(n >> 8)}), uint16(1024+n))
		if r.view.owns(slotOf(tables.TCP, c)) == own {
			return c
		}
	}
}

// service returns the address of the service that the caller uses.
func (r *benchRig) service(caller netip.AddrPort) netip.AddrPort {
	routes := r.tables.Routes()
	return routes[int(slotOf(tables.TCP, caller)^uint32(caller.Port()))%len(routes)].Address.AddrPort
}

// establish opens a flow and keeps one packet of each direction.
func (r *benchRig) establish(c netip.AddrPort) {
	out := NewOutput(1)
	r.now = r.now.Add(20 * time.Microsecond)
	r.Handle(&carrier.Incoming{Inner: segment(c, r.service(c), packet.FlagSYN, 0), From: fabricAddr}, out, r.now)
	var info packet.Info
	if len(out.Packets) != 1 || packet.Parse(out.Packets[0].Inner, &info) != nil || info.Src != c {
		r.b.Fatalf("flow was not opened: %v", r.metrics.Refusals())
	}
	server := info.Dst
	out.Reset()
	r.Handle(&carrier.Incoming{Inner: segment(server, c, packet.FlagSYN|packet.FlagACK, 0), From: fabricAddr}, out, r.now)
	if len(r.requests) < benchPackets {
		r.requests = append(r.requests, segment(c, r.service(c), packet.FlagACK, 64))
		r.responses = append(r.responses, segment(server, c, packet.FlagACK, 64))
	}
}

// handle passes n packets to the engine, cycling through the given ones from
// the index first on, and expects one packet for each.
func (r *benchRig) handle(packets [][]byte, first, n int) {
	out, buf := NewOutput(carrier.BatchSize), make([]byte, 256)
	in := carrier.Incoming{From: fabricAddr}
	for i := range n {
		p := packets[(first+i)%len(packets)]
		in.Inner = buf[:copy(buf, p)] // Handle rewrites the packet
		r.Handle(&in, out, r.now)
		if len(out.Packets) != 1 {
			r.b.Error("packet was refused")
			return
		}
		out.Reset()
	}
}

var benchSizes = []struct{ members, flows int }{{8, 500_000}, {260, 6_400}}

// BenchmarkHandle measures one packet of an established flow at its owner and
// at another member.
func BenchmarkHandle(b *testing.B) {
	for _, size := range benchSizes {
		r := newBenchRig(b, size.members, size.flows, targetAddresses, targetServers)
		for _, c := range []struct {
			name    string
			packets [][]byte
		}{{"request", r.requests}, {"response", r.responses}, {"passed_on", r.unowned}} {
			b.Run(fmt.Sprintf("members=%d/flows=%d/%s", size.members, size.flows, c.name), func(b *testing.B) {
				b.ReportAllocs()
				cpu := cpuTime(b, unix.CLOCK_PROCESS_CPUTIME_ID)
				r.handle(c.packets, 0, b.N)
				b.ReportMetric(float64(cpuTime(b, unix.CLOCK_PROCESS_CPUTIME_ID)-cpu)/float64(b.N), "cpu-ns/packet")
			})
		}
	}
}

// BenchmarkHandleParallel measures packets of established flows that several
// goroutines handle, as the workers of a daemon do.
func BenchmarkHandleParallel(b *testing.B) {
	r := newBenchRig(b, 8, 500_000, targetAddresses, targetServers)
	for _, workers := range []int{1, 2, 4, 8} {
		b.Run(fmt.Sprint("workers=", workers), func(b *testing.B) {
			var group sync.WaitGroup
			cpu := cpuTime(b, unix.CLOCK_PROCESS_CPUTIME_ID)
			for w := range workers {
				group.Go(func() { r.handle(r.requests, w*len(r.requests)/workers, b.N/workers+1) })
			}
			group.Wait()
			b.ReportMetric(float64(cpuTime(b, unix.CLOCK_PROCESS_CPUTIME_ID)-cpu)/float64(b.N), "cpu-ns/packet")
		})
	}
}

// BenchmarkNewFlow measures the first packet of a flow, up to its rewriting for
// the chosen server.
func BenchmarkNewFlow(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("members=%d/flows=%d", size.members, size.flows), func(b *testing.B) {
			r := newBenchRig(b, size.members, size.flows, targetAddresses, targetServers)
			var syns [][]byte
			for range benchPackets / 8 {
				c := r.caller(true)
				syns = append(syns, segment(c, r.service(c), packet.FlagSYN, 0))
			}
			b.ReportAllocs()
			b.ResetTimer()
			for left := b.N; left > 0; {
				n := min(left, len(syns))
				r.handle(syns, 0, n)
				left -= n
				b.StopTimer()
				r.now = r.now.Add(time.Second)
				r.eachFlow(func(s *flow.Shard, f *flow.Flow) {
					if f.State() == flow.TCPOpening {
						r.release(f, r.now)
						s.Close(f)
					}
				})
				b.StartTimer()
			}
		})
	}
}

// cpuTime returns the reading of a CPU-time clock.
func cpuTime(b *testing.B, clock int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(clock, &ts); err != nil {
		b.Fatal(err)
	}
	return time.Duration(ts.Nano())
}

// BenchmarkWalk reports the processor time of the walks over all flows, in
// total and for the flows of the largest shard. The latter is how long a packet
// would have to wait if a walk locked a whole shard.
func BenchmarkWalk(b *testing.B) {
	for _, flows := range []int{6_400, 100_000, 500_000} {
		r := newBenchRig(b, 8, flows, targetAddresses, targetServers)
		one, all := benchTables(b, 2, targetAddresses, targetServers, 1), benchTables(b, 2, targetAddresses, targetServers, targetServers)
		largest := 0
		for i := range r.flows.Shards() {
			largest = max(largest, r.flows.ShardAt(i).Len())
		}
		idle := r.now.Add(time.Hour)
		for _, c := range []struct {
			name string
			step func()
		}{
			{"ReassessOnePool", func() { r.Reassess(r.tables, one, r.now) }},
			{"ReassessAllPools", func() { r.Reassess(r.tables, all, r.now) }},
			{"PauseIdleNone", func() { r.PauseIdle(r.now) }},
			{"PauseIdleAll", func() { r.PauseIdle(idle) }},
			{"AgeNone", func() { r.Age(r.now, flows) }},
			{"AgeAll", func() { r.Age(r.now.Add(24*time.Hour), flows) }},
		} {
			b.Run(fmt.Sprintf("flows=%d/%s", flows, c.name), func(b *testing.B) {
				runtime.LockOSThread()
				defer runtime.UnlockOSThread()
				cpu := cpuTime(b, unix.CLOCK_THREAD_CPUTIME_ID)
				c.step() // only once: a second walk would have nothing left to do
				total := cpuTime(b, unix.CLOCK_THREAD_CPUTIME_ID) - cpu
				b.ReportMetric(float64(total.Microseconds()), "cpu-µs")
				b.ReportMetric(float64(total.Nanoseconds())/float64(flows), "cpu-ns/flow")
				b.ReportMetric(float64(total.Microseconds())*float64(largest)/float64(flows), "cpu-µs/shard")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkApplyTables measures how long it takes to apply a version of the
// tables for packets, and the memory of a snapshot with the indexes of this
// package.
func BenchmarkApplyTables(b *testing.B) {
	for _, size := range [][2]int{{smallAddresses, smallServers}, {targetAddresses, targetServers}} {
		b.Run(fmt.Sprintf("addresses=%d/servers=%d", size[0], size[1]), func(b *testing.B) {
			r := newBenchRig(b, 1, 0, size[0], size[1])
			versions := []*tables.Snapshot{r.tables, benchTables(b, 2, size[0], size[1], 1)}
			b.ReportAllocs()
			cpu := cpuTime(b, unix.CLOCK_PROCESS_CPUTIME_ID)
			for i := 0; b.Loop(); i++ {
				r.ApplyTables(versions[i%2], r.now)
			}
			b.ReportMetric(float64((cpuTime(b, unix.CLOCK_PROCESS_CPUTIME_ID)-cpu).Microseconds())/float64(b.N), "cpu-µs/op")
			before := heapBytes()
			view := newTableView(benchTables(b, 3, size[0], size[1], 0), nil)
			b.ReportMetric((heapBytes()-before)/1024, "snapshot-KB")
			runtime.KeepAlive(view)
		})
	}
}

// BenchmarkFlowMemory reports the memory of full flow tables.
func BenchmarkFlowMemory(b *testing.B) {
	for _, flows := range []int{100_000, 500_000} {
		b.Run(fmt.Sprint("flows=", flows), func(b *testing.B) {
			r := newBenchRig(b, 1, 0, targetAddresses, targetServers)
			routes := r.tables.Routes()
			before := heapBytes()
			t := flow.NewTable(flows)
			for i := range flows {
				c := r.caller(true)
				pool, _ := r.tables.Pool(routes[i%len(routes)].Pool)
				s := &pool.Servers[i%len(pool.Servers)]
				_, err := t.Shard(slotOf(tables.TCP, c)).Open(flow.OpenParams{Slot: slotOf(tables.TCP, c), Caller: c,
					Address: routes[i%len(routes)].Address, Route: routes[i%len(routes)].ID, Server: s.ID,
					Endpoint: s.Endpoint, State: flow.TCPEstablished, Now: r.now})
				if err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric((heapBytes()-before)/float64(flows), "bytes/flow")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(t)
		})
	}
}

// heapBytes returns the size of the heap after garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
