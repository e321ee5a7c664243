package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"encoding/xml"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"knapweedshore.example/internal/selection"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/standin/caller"
	"knapweedshore.example/standin/fabric"
	"knapweedshore.example/standin/site"
)

// fakeRunner returns a Runner that records its configurations and returns made-up
// summaries. DefaultPolicy has a lower imbalance than the other policies, except
// in the setting Crash.
func fakeRunner(configs *[]site.Config) Runner {
	return func(_ context.Context, c site.Config, progress func(string)) (*site.Summary, error) {
		*configs = append(*configs, c)
		progress("began")
		s := &site.Summary{Site: c.Site.Name, SecondHopShare: 0.875, Pools: []site.PoolSummary{
			{Pool: "desk", Imbalance: 1.5, WindowP99: 2}, {Pool: "idle"},
		}}
		if c.Policy == nil {
			s.Pools[0].Imbalance = 1.25
		}
		s.Flows = site.FlowSummary{Opened: 10, Completed: 6, Refused: map[caller.Reason]int{caller.LoadShed: 1}}
		if c.Changes == site.Crash && !c.NoChanges {
			s.Pools[0].Imbalance = 1.5
			s.Flows.Broken = map[caller.Reason]int{caller.ResponseTimeout: 3}
			s.Flows.BrokenByCrash, s.Flows.OpenAtCrash = 2, 5
			s.Violations, s.ViolationCount = []fabric.Violation{{Promise: fabric.P1, Kind: site.BrokenFlow}}, 1
		}
		for i := range 1000 {
			s.Flows.Checks = append(s.Flows.Checks, time.Duration(i+1)*time.Millisecond)
		}
		s.Balancers = []site.BalancerSummary{{ControlBytesPerSec: 1000}, {ControlBytesPerSec: 5000}}
		return s, nil
	}
}

func runFake(t *testing.T, o Options) (*Report, []site.Config) {
	var configs []site.Config
	o.Run, o.Seed, o.Duration, o.Sites = fakeRunner(&configs), 7, time.Second, []site.Description{site.Quesada()}
	report, err := Run(t.Context(), o)
	is.New(t).NoErr(err)
	return report, configs
}

var testOptions = Options{Settings: []string{Steady, Crash}, Policies: []string{DefaultPolicy, "random"}}

// Guards against runs with different seeds, runs without the requested policy, and
// settings with the wrong changes.
func TestRunsDifferOnlyInPolicyAndSetting(t *testing.T) {
	is := is.New(t)
	_, configs := runFake(t, Options{Settings: Settings(), Policies: Policies()})
	is.Equal(len(configs), len(Settings())*len(Policies()))
	for i, c := range configs {
		is.Equal(c.Seed, uint64(7))
		is.Equal(c.Duration, time.Second)
		is.Equal(c.Policy == nil, i%len(Policies()) == 0)
		is.Equal(c.NoChanges, i < len(Policies()))
		is.Equal(c.Changes == site.Crash, i >= 2*len(Policies()))
		is.Equal(c.Changes == site.Rolling, i >= len(Policies()) && !(c.Changes == site.Crash))
	}
}

// Guards against figures in the wrong column, and against a tie or an idle pool
// that counts as a win.
func TestTextForm(t *testing.T) {
	is := is.New(t)
	report, _ := runFake(t, testOptions)
	var b bytes.Buffer
	is.NoErr(report.WriteText(&b))
	lines := strings.Split(b.String(), "\n")
	for i := range lines {
		lines[i] = strings.Join(strings.Fields(lines[i]), " ")
	}
	is.Equal(strings.Join(lines, "\n"), `site setting policy opened completed refused broken by crash imbalance window p99 p50 p99 p99.9 control B/s max 2nd hop violations
quesada steady chooser 10 6 load_shed 1 0 0 1.25/0.00 2.00/0.00 500ms 990ms 999ms 3000 5000 87.5% 0
quesada steady random 10 6 load_shed 1 0 0 1.50/0.00 2.00/0.00 500ms 990ms 999ms 3000 5000 87.5% 0
quesada crash chooser 10 6 load_shed 1 1 2 1.50/0.00 2.00/0.00 500ms 990ms 999ms 3000 5000 87.5% 1 (P1 broken_flow 1)
quesada crash random 10 6 load_shed 1 1 2 1.50/0.00 2.00/0.00 500ms 990ms 999ms 3000 5000 87.5% 1 (P1 broken_flow 1)

quesada steady, pool desk: chooser 1.25, best other random 1.50: wins
quesada crash, pool desk: chooser 1.50, best other random 1.50: does not win
goal: no flow broken without a crash: missed, 1 broken
goal: control at most 4 KB/s for each daemon: missed, highest 5000 B/s
goal: no promise broken: missed, 1 violations
goal: imbalance at most 1.10 in steady state: missed, highest 1.25
goal: a crash breaks fewer than 1 in 1,000 open flows: missed, 2 of 5
goal: imbalance below every other policy: missed, in 1 of 2 comparisons
`)
}

// Guards against JSON output that omits figures or the unit of a duration.
func TestJSONForm(t *testing.T) {
	is := is.New(t)
	report, _ := runFake(t, testOptions)
	var b bytes.Buffer
	is.NoErr(report.WriteJSON(&b))
	is.True(strings.Contains(b.String(), `"p99_ns": 9`))
	var decoded Report
	is.NoErr(json.Unmarshal(b.Bytes(), &decoded))
	is.Equal(decoded, *report)
}

// Guards against charts that are not well-formed XML or lack a policy.
func TestPlots(t *testing.T) {
	is := is.New(t)
	report, _ := runFake(t, testOptions)
	dir := filepath.Join(t.TempDir(), "plots")
	is.NoErr(report.WritePlots(dir))
	for _, name := range []string{"quesada-steady-imbalance-desk", "quesada-steady-imbalance-idle", "quesada-crash-p99"} {
		data, err := os.ReadFile(filepath.Join(dir, name+".svg"))
		is.NoErr(err)
		is.True(bytes.Contains(data, []byte(">chooser<")) && bytes.Contains(data, []byte(">random<")))
		d := xml.NewDecoder(bytes.NewReader(data))
		for err == nil {
			_, err = d.Token()
		}
		is.Equal(err, io.EOF)
	}
}

// Guards against a report that contains the result of a failed run.
func TestFailedRunEndsTheBench(t *testing.T) {
	is := is.New(t)
	o, failure := testOptions, errors.New("no socket")
	o.Sites = []site.Description{site.Sullam()}
	o.Run = func(context.Context, site.Config, func(string)) (*site.Summary, error) { return nil, failure }
	report, err := Run(t.Context(), o)
	is.True(errors.Is(err, failure))
	is.Equal(len(report.Results), 0)
}

// Guards against a name that selects the wrong policy. The policies are told apart
// by how often they choose a server with many open flows.
func TestPolicyByName(t *testing.T) {
	const choices = 4000
	loadedServer, pool := tables.ServerID(1), &tables.Pool{Name: "desk"}
	for id := range tables.ServerID(4) {
		pool.Servers = append(pool.Servers, tables.Server{ID: id + 1, State: tables.Active}.WithDefaults())
	}
	for name, want := range map[string]struct {
		minCount, maxCount int // choices of the loaded server
		onlyDefault        bool
	}{
		"random":            {850, 999, false}, // about a quarter
		"round-robin":       {1000, 1000, false},
		"rendezvous":        {0, choices, true},
		"least-connections": {0, 0, false},
		"two-choices":       {150, 350, false}, // about a sixteenth
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, err := PolicyByName(name)
			is.NoErr(err)
			policy := p.perDaemon(2)()
			for range 100 {
				policy.Opened(loadedServer, time.Time{})
			}
			n, defaults := 0, 0
			for key := range uint64(choices) {
				c, err := policy.Choose(selection.Request{Key: key * 0x9E3779B97F4A7C15, Pool: pool})
				is.NoErr(err)
				if c.Server.ID == loadedServer {
					n++
				}
				if c.Default {
					defaults++
				}
			}
			t.Log(n, defaults)
			is.True(n >= want.minCount && n <= want.maxCount)
			is.Equal(defaults == choices, want.onlyDefault)
		})
	}
	p, err := PolicyByName(DefaultPolicy)
	is.New(t).NoErr(err)
	is.New(t).True(p.perDaemon(1) == nil) // the daemon creates its Chooser
	_, err = PolicyByName("maglev")
	is.New(t).True(err != nil)
}
