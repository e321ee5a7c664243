package peer

import (
	"fmt"
	"testing"
	"time"

	"knapweedshore.example/internal/metrics"
)

// BenchmarkControlBytes measures what one daemon sends and receives on links
// over loopback while nothing changes: TLS records, without TCP and IP headers.
// The figures for the capacity page must not grow with the number of members.
//
//	go test -run '^$' -bench ControlBytes ./internal/peer
func BenchmarkControlBytes(b *testing.B) {
	const window = 5 * time.Second
	for _, members := range []int{4, 8, 16} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) {
			c := newCluster(b, nil)
			c.startZones(members, "z1", "z2", "z3")
			within(b, 10*time.Second, "all members know all", func() bool { return agree(c.nodes, c.nodes) })
			time.Sleep(meetLinkLife + time.Second) // until links to the contact have ended
			before, started := c.controlBytes(), time.Now()
			for range b.N {
				time.Sleep(window)
			}
			after := c.controlBytes()
			perDaemon := time.Since(started).Seconds() * float64(members)
			b.ReportMetric(float64(after[0]-before[0])/perDaemon, "sent-B/s")
			b.ReportMetric(float64(after[1]-before[1])/perDaemon, "received-B/s")
			links := 0
			for _, n := range c.nodes {
				links += n.linkCount()
			}
			b.ReportMetric(float64(links)/float64(members), "links")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// controlBytes returns the bytes that all daemons sent and received.
func (c *cluster) controlBytes() (sum [2]int64) {
	for _, n := range c.nodes {
		sum[0] += n.cfg.Metrics.Totals().Value(metrics.ControlBytesSent)
		sum[1] += n.cfg.Metrics.Totals().Value(metrics.ControlBytesReceived)
	}
	return sum
}

func (n *testNode) linkCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.links)
}
