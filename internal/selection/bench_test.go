package selection

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/tables"
)

var policies = []struct {
	name  string
	build func(owner int, now time.Time) Policy
}{
	{"chooser", func(_ int, now time.Time) Policy { return NewChooser(now, nil) }},
	{"random", func(owner int, _ time.Time) Policy { return NewRandom(uint64(owner)) }},
	{"round_robin", func(owner int, _ time.Time) Policy { return NewRoundRobin(uint64(owner)) }},
	{"rendezvous", func(int, time.Time) Policy { return NewRendezvous() }},
	{"least_connections", func(owner int, _ time.Time) Policy { return NewLeastConnections(uint64(owner)) }},
	{"two_choices", func(owner int, _ time.Time) Policy { return NewTwoChoices(uint64(owner)) }},
}

// maxImbalance is the target for the imbalance after the warm-up.
const maxImbalance = 1.10

// Guards against a Chooser that leaves servers of different speeds unevenly
// used, or that balances worse than a simpler policy. The run is seeded, so its
// result is deterministic.
func TestImbalanceIsWithinTheGoalAndBelowEveryBaseline(t *testing.T) {
	is := is.New(t)
	results := make([]result, len(policies))
	var group sync.WaitGroup
	for i, p := range policies {
		group.Go(func() {
			m := standardModel(1)
			m.windows = 5
			m.build = p.build
			results[i] = m.run()
		})
	}
	group.Wait()
	chooserImbalance := results[0].imbalance
	is.True(chooserImbalance <= maxImbalance)
	for i, p := range policies {
		t.Logf("%-18s %v", p.name, results[i])
		is.True(i == 0 || chooserImbalance < results[i].imbalance) // below the baseline
	}
}

// BenchmarkImbalance reports the imbalance, the deviations and the waiting time
// of every policy for several workloads.
func BenchmarkImbalance(b *testing.B) {
	workloads := []struct {
		name   string
		change func(m *model)
	}{
		{"weights_unknown", func(*model) {}},
		{"weights_known", func(m *model) {
			for i, v := range m.speeds {
				m.weights[i] = uint32(v * tables.DefaultWeight)
			}
		}},
		{"mostly_long", func(m *model) { m.longFraction, m.longWork = 0.3, 3*time.Second }},
		{"short_only", func(m *model) { m.longFraction, m.shortWork, m.windows = 0, 5*time.Millisecond, 3 }},
		// The end of a UDP flow is not visible: it counts until it has been idle
		// for 2 s.
		{"late_end", func(m *model) { m.closeDelay = 2 * time.Second }},
		// The first 14 s of a daemon that has not learned any server speeds.
		{"first_14s", func(m *model) { m.measureStartup(0) }},
		{"first_14s_late_end_0.25s", func(m *model) { m.measureStartup(250 * time.Millisecond) }},
		{"first_14s_late_end_2s", func(m *model) { m.measureStartup(2 * time.Second) }},
		{"load_0.3", func(m *model) { m.load = 0.3 }},
		{"load_0.8", func(m *model) { m.load = 0.8 }},
	}
	for _, w := range workloads {
		for _, p := range policies {
			b.Run(w.name+"/"+p.name, func(b *testing.B) {
				var r result
				for b.Loop() {
					m := standardModel(1)
					m.build = p.build
					w.change(&m)
					r = m.run()
				}
				b.ReportMetric(r.imbalance, "imbalance")
				b.ReportMetric(r.deviated, "deviated/flow")
				b.ReportMetric(r.longDeviated, "long-deviated/flow")
				b.ReportMetric(float64(r.meanWait.Microseconds())/1000, "wait-ms")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// measureStartup measures from 3 s to 14 s after the start.
func (m *model) measureStartup(closeDelay time.Duration) {
	m.warmUp, m.window, m.windows = 3*time.Second, 11*time.Second, 1
	m.shortWork, m.longFraction, m.load, m.closeDelay = 45*time.Millisecond, 0, 0.5, closeDelay
}

// BenchmarkChoose measures one decision with 4,800 servers in the tables,
// including the reports that the flow was opened and closed.
func BenchmarkChoose(b *testing.B) {
	for _, size := range []int{2, 14, 20} {
		b.Run(fmt.Sprintf("servers=%d", size), func(b *testing.B) {
			pools := largeTables(4800, size)
			c := NewChooser(start, nil)
			c.applyPools(pools, start)
			b.ReportAllocs()
			key, now := uint64(0), start
			for b.Loop() {
				key += 0x9E3779B97F4A7C15
				now = now.Add(20 * time.Microsecond) // 50,000 flows a second
				choice, err := c.Choose(Request{Key: key, Pool: pools[key%uint64(len(pools))], Now: now})
				if err != nil {
					b.Fatal(err)
				}
				c.Opened(choice.Server.ID, now)
				c.Closed(choice.Server.ID, now, now)
			}
		})
	}
}

// BenchmarkChooseAvoid measures one decision that has to avoid servers, and
// reports how often Avoid is called, because each call costs a lookup.
func BenchmarkChooseAvoid(b *testing.B) {
	pools := largeTables(4800, 20)
	c := NewChooser(start, nil)
	c.applyPools(pools, start)
	b.ReportAllocs()
	key, asked := uint64(0), 0
	avoid := func(s *tables.Server) bool { asked++; return s.ID%20 == 0 }
	for b.Loop() {
		key += 0x9E3779B97F4A7C15
		if _, err := c.Choose(Request{Key: key, Pool: pools[key%uint64(len(pools))], Now: start, Avoid: avoid}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(asked)/float64(b.N), "asked/op")
}

// BenchmarkApply measures applying a new version of tables with 4,800 servers.
func BenchmarkApply(b *testing.B) {
	pools := largeTables(4800, 14)
	c := NewChooser(start, nil)
	for b.Loop() {
		c.applyPools(pools, start)
	}
}

func largeTables(servers, poolSize int) []*tables.Pool {
	var pools []*tables.Pool
	for id := 0; id < servers; id += poolSize {
		p := newPool(make([]uint32, poolSize), 2)
		p.Name = fmt.Sprintf("pool-%d", id)
		for i := range p.Servers {
			p.Servers[i].ID = tables.ServerID(id + i + 1)
			p.Servers[i].Weight = tables.DefaultWeight
		}
		pools = append(pools, p)
	}
	return pools
}
