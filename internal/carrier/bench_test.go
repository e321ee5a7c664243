package carrier

import (
	"net"
	"testing"
	"time"

	"golang.org/x/net/ipv4"
)

// echoBench measures loops that receive packets and send them back. The packets
// are queued before the clock starts, so that the cost of the other end is not
// included.
type echoBench struct {
	source *net.UDPConn
	batch  []ipv4.Message
	writer *ipv4.PacketConn
}

func newEchoBench(b *testing.B, target *net.UDPConn, datagram []byte) *echoBench {
	source, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback4))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = source.Close() })
	e := &echoBench{source: source, writer: ipv4.NewPacketConn(source)}
	for range BatchSize {
		e.batch = append(e.batch, ipv4.Message{Buffers: [][]byte{datagram}, Addr: target.LocalAddr()})
	}
	return e
}

// round queues one batch, returns the time that echo takes for it, and drains the
// source's receive buffer.
func (e *echoBench) round(b *testing.B, echo func() (int, error)) time.Duration {
	if n, err := e.writer.WriteBatch(e.batch, 0); err != nil || n != BatchSize {
		b.Fatalf("queued %d: %v", n, err)
	}
	start := time.Now()
	for left := BatchSize; left > 0; {
		n, err := echo()
		if err != nil {
			b.Fatal(err)
		}
		left -= n
	}
	took := time.Since(start)
	var buf [MaxDatagram]byte
	for range BatchSize {
		if _, _, err := e.source.ReadFromUDPAddrPort(buf[:]); err != nil {
			b.Fatal(err)
		}
	}
	return took
}

// bareEcho returns the loop with which the carrier is compared: the same system
// calls without encoding and decoding.
func bareEcho(b *testing.B) (*net.UDPConn, func() (int, error)) {
	sock, err := bind(loopback4, false)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = sock.Close() })
	raw, err := sock.SyscallConn()
	if err != nil {
		b.Fatal(err)
	}
	rx, tx := newReceiver(raw), newSender(sock)
	return sock, func() (int, error) {
		n, err := rx.receive(BatchSize)
		if err != nil {
			return 0, err
		}
		for i := range n {
			d, _ := rx.datagram(i)
			tx.setDestination(i, rx.from(i))
			tx.messages[i].Buffers = tx.vectors[i][:1]
			tx.vectors[i][0] = d
		}
		return tx.conn.WriteBatch(tx.messages[:n], 0)
	}
}

// xnetEcho returns the same loop with ReadBatch of golang.org/x/net, which
// allocates the address of each datagram.
func xnetEcho(b *testing.B) (*net.UDPConn, func() (int, error)) {
	sock, err := bind(loopback4, false)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = sock.Close() })
	conn := ipv4.NewPacketConn(sock)
	in, out := make([]ipv4.Message, BatchSize), make([]ipv4.Message, BatchSize)
	for i := range in {
		in[i].Buffers = [][]byte{make([]byte, MaxDatagram)}
		out[i].Buffers = make([][]byte, 1)
	}
	return sock, func() (int, error) {
		n, err := conn.ReadBatch(in, 0)
		if err != nil {
			return 0, err
		}
		for i := range n {
			out[i].Buffers[0], out[i].Addr = in[i].Buffers[0][:in[i].N], in[i].Addr
		}
		return conn.WriteBatch(out[:n], 0)
	}
}

func carrierEcho(b *testing.B) (*net.UDPConn, func() (int, error)) {
	c := mustListen(b, loopback4, 1)[0]
	in, out := make([]Incoming, BatchSize), make([]Outgoing, BatchSize)
	return c.(*udpConn).sock, func() (int, error) {
		n, err := c.ReadBatch(in)
		if err != nil {
			return 0, err
		}
		for i := range n {
			out[i] = Outgoing{Inner: in[i].Inner, To: in[i].From, Hop: in[i].Hop}
		}
		return c.WriteBatch(out[:n])
	}
}

// BenchmarkEcho compares the carrier with both other loops, in turn for each batch
// and with datagrams of one size. An iteration is one packet of the carrier.
func BenchmarkEcho(b *testing.B) {
	inner := append([]byte{0x45}, make([]byte, 63)...)
	datagram := append(AppendHeader(nil, inner, Hop{Kind: HopOwner, Count: 1}), inner...)
	var benches [3]*echoBench
	var loops [3]func() (int, error)
	var took [3]time.Duration
	for i, f := range []func(*testing.B) (*net.UDPConn, func() (int, error)){carrierEcho, bareEcho, xnetEcho} {
		sock, loop := f(b)
		benches[i], loops[i] = newEchoBench(b, sock, datagram), loop
	}
	b.ResetTimer()
	packets := 0
	for packets < b.N {
		for i := range benches {
			took[i] += benches[i].round(b, loops[i])
		}
		packets += BatchSize
	}
	ns := func(i int) float64 { return float64(took[i].Nanoseconds()) / float64(packets) }
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(ns(0), "carrier-ns/packet")
	b.ReportMetric(ns(1), "bare-ns/packet")
	b.ReportMetric(ns(1)/ns(0), "ratio-to-bare")
	b.ReportMetric(ns(2)/ns(0), "ratio-to-xnet")
}

// BenchmarkEchoAllocs counts allocations of the carrier alone. An iteration is
// one batch.
func BenchmarkEchoAllocs(b *testing.B) {
	inner := append([]byte{0x45}, make([]byte, 63)...)
	sock, echo := carrierEcho(b)
	bench := newEchoBench(b, sock, append(AppendHeader(nil, inner, Hop{}), inner...))
	b.ReportAllocs()
	for b.Loop() {
		bench.round(b, echo)
	}
}

func BenchmarkCodec(b *testing.B) {
	inner := append([]byte{0x45}, make([]byte, 999)...)
	datagram := append(AppendHeader(nil, inner, Hop{Kind: HopOwner, Count: 1}), inner...)
	var header [MaxOverhead]byte
	b.ReportAllocs()
	for b.Loop() {
		in, hop, err := Decode(datagram)
		if err != nil {
			b.Fatal(err)
		}
		AppendHeader(header[:0], in, hop)
	}
}
