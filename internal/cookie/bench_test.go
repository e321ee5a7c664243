package cookie

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/placement"
)

// benchCodec encodes a caller number, a flag and a cookie in 12 bytes. It is cheap,
// so that the benchmarks measure the engine.
type benchCodec struct{}

func (benchCodec) MaxPacketSize() int { return 12 }
func (benchCodec) Headroom() int      { return 8 }

func (benchCodec) Parse(b []byte) (Packet, error) {
	n := binary.BigEndian.Uint32(b)
	return Packet{
		Caller: netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64, byte(n >> 24), byte(n >> 16)}), uint16(n)), Service: service,
		Opens: b[4] == 1, Cookie: directory.Cookie(binary.BigEndian.Uint32(b[8:])), PayloadLen: int(b[5]),
	}, nil
}

func (benchCodec) Encapsulate(b []byte, number uint64, c directory.Cookie) {
	binary.BigEndian.PutUint64(b, number)
	binary.BigEndian.PutUint32(b[16:], uint32(c))
}

func (benchCodec) AppendReset(dst []byte, _ Packet) []byte { return dst }

func newBenchEngine(servers int) (*Engine, *staticDirectory) {
	b := directory.NewBuilder()
	b.Apply([]directory.Change{{Config: &directory.Config{Version: 1, Routes: []directory.Route{{
		Name: "r", Address: service, Shares: []directory.Share{{Pool: "p", Weight: 1}}, Timeout: time.Second,
	}}}}}, directory.Position{Revision: 1}, epoch)
	for i := range servers {
		b.Apply([]directory.Change{{Server: server(uint64(i+1), fmt.Sprintf("10.0.%d.%d:80", i/250, i%250))}}, directory.Position{Revision: 1}, epoch)
	}
	t := &staticDirectory{current: b.Build()}
	return NewEngine(Options{
		Codec: benchCodec{}, Directories: t, Placer: placement.New("a", 1), FlowLifetime: time.Minute,
		Metrics: metrics.NewRegistry(), Log: events.Discard(),
	}), t
}

func BenchmarkOpen(b *testing.B) {
	for _, servers := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			e, _ := newBenchEngine(servers)
			packet := make([]byte, 20)
			packet[12] = 1
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				if i++; i%1000 == 0 {
					e.Expire(epoch.Add(time.Duration(i) * time.Hour)) // limits the table to 1,000 flows
				}
				binary.BigEndian.PutUint32(packet[8:], uint32(i))
				e.Handle(packet, epoch.Add(time.Duration(i)*time.Hour))
			}
		})
	}
}

func BenchmarkEstablished(b *testing.B) {
	for _, remembered := range []bool{true, false} {
		b.Run(fmt.Sprintf("remembered=%v", remembered), func(b *testing.B) {
			e, _ := newBenchEngine(100)
			packet := make([]byte, 20)
			if remembered {
				packet[12] = 1
				e.Handle(packet, epoch)
				packet[12] = 0
			}
			packet[19] = 1
			b.ReportAllocs()
			for b.Loop() {
				e.Handle(packet, epoch)
			}
		})
	}
}
