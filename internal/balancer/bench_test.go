package balancer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"go.uber.org/zap"
	"golang.org/x/net/ipv4"

	"knapweedshore.example/internal/carrier"
	"knapweedshore.example/internal/forward"
	"knapweedshore.example/internal/packet"
	"knapweedshore.example/internal/peer"
	"knapweedshore.example/internal/settings"
	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
)

const (
	benchFlows     = 4096
	benchAddresses = 2700 // target sizes of docs/design.md
	benchServers   = 4800
)

// pathBench sends batches of packets from the fabric's socket and receives the
// packets that come back.
type pathBench struct {
	b        *testing.B
	fabric   *net.UDPConn
	batch    *ipv4.PacketConn
	received []ipv4.Message
}

func newPathBench(b *testing.B) *pathBench {
	fabric, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = fabric.Close() })
	r := &pathBench{b: b, fabric: fabric, batch: ipv4.NewPacketConn(fabric), received: newMessages()}
	return r
}

func newMessages() []ipv4.Message {
	messages := make([]ipv4.Message, carrier.BatchSize)
	for i := range messages {
		messages[i].Buffers = [][]byte{make([]byte, carrier.MaxDatagram)}
	}
	return messages
}

func (r *pathBench) send(to netip.AddrPort, inner [][]byte) {
	var messages []ipv4.Message
	for _, p := range inner {
		datagram := append(carrier.AppendHeader(nil, p, carrier.Hop{}), p...)
		messages = append(messages, ipv4.Message{Buffers: [][]byte{datagram}, Addr: net.UDPAddrFromAddrPort(to)})
	}
	for len(messages) > 0 {
		n, err := r.batch.WriteBatch(messages, 0)
		if err != nil {
			r.b.Fatal(err)
		}
		messages = messages[n:]
	}
}

// receive reads n packets and passes each to f without the carrier's header.
func (r *pathBench) receive(n int, f func(inner []byte)) {
	if err := r.fabric.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
		r.b.Fatal(err)
	}
	for n > 0 {
		got, err := r.batch.ReadBatch(r.received, 0)
		if err != nil {
			r.b.Fatalf("%d packets are missing: %v", n, err)
		}
		for _, m := range r.received[:got] {
			inner, _, err := carrier.Decode(m.Buffers[0][:m.N])
			if err != nil {
				r.b.Fatal(err)
			}
			f(inner)
		}
		n -= got
	}
}

func startBenchDaemon(b *testing.B, r *pathBench) *Balancer {
	authority, err := peer.NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	credentials, err := authority.Issue("vm-0", "cartago")
	if err != nil {
		b.Fatal(err)
	}
	d, err := New(Options{
		Settings: &settings.Settings{
			Name: "vm-0", Region: "cartago", Zone: "zone-0", Capacity: 100, Data: loopback, Control: loopback,
			Fabrics: []netip.AddrPort{r.fabric.LocalAddr().(*net.UDPAddr).AddrPort()}, Workers: 1,
			MaxFlows: 2 * benchFlows, NewFlowsPerSecond: 1_000_000, ExceptionBytesPerSecond: 2048,
		},
		Store: benchStore(b), Logger: zap.NewNop(), Credentials: credentials, LeavePeriod: time.Second,
	})
	if err != nil {
		b.Fatal(err)
	}
	runErr := make(chan error, 1)
	go func() { runErr <- d.Run(context.Background()) }()
	b.Cleanup(func() {
		d.Kill()
		<-runErr
	})
	for deadline := time.Now().Add(waitTimeout); !ready(1)(d.Status()); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			b.Fatal("daemon is not ready")
		}
	}
	return d
}

// benchStore returns a store with tables of the target size.
func benchStore(b *testing.B) *headStore {
	var ops []tables.Operation
	for i := range benchServers / 15 {
		p := tables.PutPool{Name: fmt.Sprint("pool-", i)}
		for j := range 15 {
			n := i*15 + j
			endpoint := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 8443)
			p.Servers = append(p.Servers, tables.Server{Name: fmt.Sprint("s", n), Endpoint: endpoint, Zone: "zone-0"}.WithDefaults())
		}
		ops = append(ops, p)
	}
	for i := range benchAddresses {
		ops = append(ops, tables.PutRoute{Name: fmt.Sprint("route-", i), Address: benchAddress(i), Pool: fmt.Sprint("pool-", i%(benchServers/15))})
	}
	head, err := (&tables.Head{}).Append(tables.Delta{Version: 1, WriteID: tables.NewWriteID(), Author: "test", Time: time.Now(), Operations: ops})
	if err != nil {
		b.Fatal(err)
	}
	return &headStore{value: store.Value{Data: head.Encode(), Revision: 1}}
}

func benchAddress(i int) tables.Address {
	return tables.Address{AddrPort: netip.AddrPortFrom(netip.AddrFrom4([4]byte{203, 0, byte(i >> 8), byte(i)}), 443), Protocol: tables.TCP}
}

// establish opens benchFlows flows through the daemon and returns one packet of
// each.
func (r *pathBench) establish(d *Balancer) [][]byte {
	var syns, synAcks, established [][]byte
	for i := range benchFlows {
		caller := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 51, byte(i >> 8), byte(i)}), uint16(20000+i))
		to := benchAddress(i % benchAddresses).AddrPort
		syns = append(syns, segment(caller, to, true, false))
		established = append(established, segment(caller, to, false, true))
	}
	for i := 0; i < len(syns); i += carrier.BatchSize {
		r.send(d.DataAddress(), syns[i:i+carrier.BatchSize])
		r.receive(carrier.BatchSize, func(inner []byte) {
			var info packet.Info
			if err := packet.Parse(inner, &info); err != nil {
				r.b.Fatal(err)
			}
			synAcks = append(synAcks, segment(info.Dst, info.Src, true, true))
		})
	}
	for i := 0; i < len(synAcks); i += carrier.BatchSize {
		r.send(d.DataAddress(), synAcks[i:i+carrier.BatchSize])
		r.receive(carrier.BatchSize, func([]byte) {})
	}
	return established
}

// bareLoop returns the address of a UDP socket, and a function that echoes one
// batch on it without decoding packets.
func bareLoop(b *testing.B) (netip.AddrPort, func() int) {
	sock, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = sock.Close() })
	conn, in := ipv4.NewPacketConn(sock), newMessages()
	out := make([]ipv4.Message, len(in))
	return sock.LocalAddr().(*net.UDPAddr).AddrPort(), func() int {
		n, err := conn.ReadBatch(in, 0)
		if err != nil {
			b.Fatal(err)
		}
		for i := range n {
			out[i] = ipv4.Message{Buffers: [][]byte{in[i].Buffers[0][:in[i].N]}, Addr: in[i].Addr}
		}
		if _, err := conn.WriteBatch(out[:n], 0); err != nil {
			b.Fatal(err)
		}
		return n
	}
}

// BenchmarkPath compares the packet path of a running daemon with a bare UDP loop,
// alternating batch by batch. It runs the body of Balancer.forwardLoop on a socket
// of its own after the batch was queued, so that only this code is timed.
func BenchmarkPath(b *testing.B) {
	r := newPathBench(b)
	d := startBenchDaemon(b, r)
	packets := r.establish(d)
	conns, err := carrier.Listen(loopback, 1)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conns[0].Close() })
	in, out := make([]carrier.Incoming, carrier.BatchSize), forward.NewOutput(carrier.BatchSize)
	path := func() int {
		n, err := conns[0].ReadBatch(in)
		if err != nil {
			b.Fatal(err)
		}
		now := time.Now()
		for i := range in[:n] {
			d.engine.Handle(&in[i], out, now)
		}
		d.flush(conns[0], out)
		return n
	}
	bareAddress, bare := bareLoop(b)
	b.ResetTimer()
	var elapsed [2]time.Duration
	done := 0
	for ; done < b.N; done += carrier.BatchSize {
		batch := packets[done%benchFlows:][:carrier.BatchSize]
		for i, loop := range []func() int{path, bare} {
			r.send([]netip.AddrPort{conns[0].LocalAddr(), bareAddress}[i], batch)
			start := time.Now()
			for remaining := carrier.BatchSize; remaining > 0; {
				remaining -= loop()
			}
			elapsed[i] += time.Since(start)
			r.receive(carrier.BatchSize, func([]byte) {})
		}
	}
	b.ReportMetric(float64(elapsed[0].Nanoseconds())/float64(done), "daemon-ns/packet")
	b.ReportMetric(float64(elapsed[1].Nanoseconds())/float64(done), "bare-ns/packet")
	b.ReportMetric(float64(elapsed[1])/float64(elapsed[0]), "ratio-to-bare")
	b.ReportMetric(0, "ns/op")
}
