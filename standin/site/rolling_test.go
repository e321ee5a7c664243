package site

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/standin/backend"
)

// Guards against a rolling replacement that omits a balancer or that breaks flows by
// itself. The balancers here are stateless and choose the same servers, so they
// break none.
func TestRollingReplacesEveryBalancer(t *testing.T) {
	is := is.New(t)
	platform := &fakePlatform{t: t}
	c := Config{Site: lowLoadSite(), Seed: 1, Duration: 4 * time.Second, Platform: platform, Changes: Rolling}
	s, err := Run(t.Context(), c, func(line string) { t.Log(line) })
	is.NoErr(err)
	is.Equal(platform.drained, "desk/desk01")
	is.Equal(s.Flows.Completed, s.Flows.Opened)
	vms := len(c.Site.VMs)
	is.Equal(len(s.Balancers), 2*vms)
	for i, b := range s.Balancers[:vms] {
		is.Equal(b.State, "left")
		is.Equal(s.Balancers[vms+i].Name, b.Name+"-new")
		is.Equal(s.Balancers[vms+i].State, "joined")
	}
}

// Guards against an imbalance that includes drained servers, ignores speeds, or is
// computed from the busy time since the start instead of that in a window.
func TestImbalanceOfWindows(t *testing.T) {
	is := is.New(t)
	p := PoolSummary{Pool: "desk", Servers: []ServerSummary{
		{Server: "slow", Speed: 1}, {Server: "fast", Speed: 3}, {Server: "gone", Speed: 1, Drained: true},
	}}
	sample := func(slow, fast, gone time.Duration) map[string]map[string]backend.Stats {
		return map[string]map[string]backend.Stats{"desk": {"slow": {Busy: slow}, "fast": {Busy: fast}, "gone": {Busy: gone}}}
	}
	// Imbalances of the windows: 1, none without work, and 3 / ((3*1 + 1*3) / 4).
	p.setWindowP99([]map[string]map[string]backend.Stats{sample(0, 0, 0), sample(5, 5, 90), sample(5, 5, 95), sample(8, 6, 99)})
	is.Equal(p.Windows, 2)
	is.Equal(p.WindowP99, 2.0)
}
