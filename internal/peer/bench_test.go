package peer

import (
	"fmt"
	"testing"
	"time"

	"knapweedshore.example/internal/metrics"
)

// BenchmarkControlBytes measures the bytes per second that one daemon sends and
// receives on its links over loopback while nothing changes. TLS is included, TCP and
// IP headers are not. The capacity page has the results, which must not grow with the
// number of members.
//
//	go test -run '^$' -bench ControlBytes ./internal/peer
func BenchmarkControlBytes(b *testing.B) {
	const window = 5 * time.Second
	for _, members := range []int{4, 8, 16} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			c := newCluster(b, nil)
			c.startZones(members, "z1", "z2", "z3")
			within(b, 10*time.Second, "all members serve", func() bool { return allServe(c.nodes, c.nodes) })
			time.Sleep(discoveryLinkDuration + time.Second) // until the discovery links are closed
			before, started := c.totalControlBytes(), time.Now()
			for range b.N {
				time.Sleep(window)
			}
			after := c.totalControlBytes()
			daemonSeconds := time.Since(started).Seconds() * float64(members)
			b.ReportMetric(float64(after[0]-before[0])/daemonSeconds, "sent-B/s")
			b.ReportMetric(float64(after[1]-before[1])/daemonSeconds, "received-B/s")
			links := 0
			for _, n := range c.nodes {
				links += n.linkCount()
			}
			b.ReportMetric(float64(links)/float64(members), "links")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// totalControlBytes returns the bytes that all daemons have sent and received.
func (c *cluster) totalControlBytes() (sum [2]int64) {
	for _, n := range c.nodes {
		sum[0] += n.cfg.Metrics.Totals().Value(metrics.ControlBytesSent)
		sum[1] += n.cfg.Metrics.Totals().Value(metrics.ControlBytesReceived)
	}
	return sum
}

// linkCount returns the number of open links.
func (n *testNode) linkCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.links)
}
