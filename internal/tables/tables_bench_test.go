package tables

import (
	"fmt"
	"testing"
)

// BenchmarkTables measures encoding, decoding and applying a change for two sizes
// of tables.
func BenchmarkTables(b *testing.B) {
	for _, size := range [][2]int{{300, 544}, {2700, 4800}} {
		s, err := Empty().Apply(delta(Empty(), testTime, Diff(Empty(), largeTables(size[0], size[1]))...))
		if err != nil {
			b.Fatal(err)
		}
		data := s.Encode()
		added := delta(s, testTime, PutServer{Pool: "service-0001", Server: server("new", "10.200.0.1:80")})
		pool, _ := s.Pool("service-0001")
		drained := pool.Servers[0]
		drained.State = Draining
		drain := delta(s, testTime, PutServer{Pool: "service-0001", Server: drained})
		route := delta(s, testTime, PutRoute{Name: "new", Address: tcp("198.51.100.1:443"), Pool: "service-0001"})
		for _, step := range []struct {
			name string
			run  func() error
		}{
			{"Encode", func() error { s.Encode(); return nil }},
			{"Decode", func() error { _, err := DecodeSnapshot(data); return err }},
			{"Apply", func() error { _, err := s.Apply(added); return err }},
		} {
			b.Run(fmt.Sprintf("addresses=%d/servers=%d/%s", size[0], size[1], step.name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if err := step.run(); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(len(data)), "snapshot-B")
				b.ReportMetric(float64(len(added.Encode())), "add-server-B")
				b.ReportMetric(float64(len(drain.Encode())), "drain-server-B")
				b.ReportMetric(float64(len(route.Encode())), "add-route-B")
			})
		}
	}
}
