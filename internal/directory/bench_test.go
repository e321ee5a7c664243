package directory

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// BenchmarkChange measures applying one changed registration and rebuilding the
// whole directory.
func BenchmarkChange(b *testing.B) {
	for _, size := range []int{18, 150, 1200, 4800} {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			builder := NewBuilder()
			c := &Config{Version: 1}
			for i := range size * 2700 / 4800 { // the ratio of the target sizes: 2,700 routes and 4,800 servers
				a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, byte(i / 250), byte(i % 250)}), 443)
				c.Routes = append(c.Routes, Route{Name: fmt.Sprint("r", i), Address: a, Shares: []Share{{"p", 1}}})
			}
			builder.Apply([]Change{{Config: c}}, Position{Revision: 1}, epoch)
			for i := range size {
				builder.Apply([]Change{{Server: testServer(fmt.Sprint("i-", i), uint64(i+1), uint64(i+1))}}, Position{Revision: 1}, epoch)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				s := testServer("i-0", 1, 1)
				s.Draining = i%2 == 0
				builder.Apply([]Change{{Server: s}}, Position{Revision: uint64(i)}, epoch.Add(time.Duration(i)))
				builder.Build()
			}
		})
	}
}
