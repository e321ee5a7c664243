package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/go-faster/errors"
)

// Report has the results of all runs, with comparisons and goals derived from
// them.
type Report struct {
	Seed        uint64        `json:"seed"`
	Duration    time.Duration `json:"duration_ns"`
	Results     []Result      `json:"results"`
	Comparisons []Comparison  `json:"comparisons"`
	Goals       []Goal        `json:"goals"`
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(r); err != nil {
		return errors.Wrap(err, "write report")
	}
	return nil
}

// columns are the headers of the table, which has one row for each run.
var columns = []string{
	"site", "setting", "policy", "opened", "completed", "refused", "broken", "by crash", "imbalance", "window p99",
	"p50", "p99", "p99.9", "control B/s", "max", "2nd hop", "violations",
}

// WriteText writes the table, the comparisons and the goals.
func (r *Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.Join(columns, "\t"))
	for _, result := range r.Results {
		fmt.Fprintln(t, strings.Join(result.row(), "\t"))
	}
	for _, c := range r.Comparisons {
		fmt.Fprintf(t, "\n%s %s, pool %s: %s %.2f, best other %s %.2f: %s", c.Site, c.Setting, c.Pool,
			DefaultPolicy, c.DefaultValue, c.Best, c.BestValue, choose(c.Wins, "wins", "does not win"))
	}
	fmt.Fprintln(t)
	for _, g := range r.Goals {
		fmt.Fprintf(t, "goal: %s: %s, %s\n", g.Name, choose(g.Met, "met", "missed"), g.Detail)
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write report")
	}
	return nil
}

// choose returns yes if ok, and no otherwise.
func choose(ok bool, yes, no string) string {
	if ok {
		return yes
	}
	return no
}

// row returns the cells of the result's row, in the order of columns.
func (r Result) row() []string {
	imbalance := func(p PoolResult) float64 { return p.Imbalance }
	window := func(p PoolResult) float64 { return p.WindowP99 }
	return []string{
		r.Site, r.Setting, r.Policy, fmt.Sprint(r.Opened), fmt.Sprint(r.Completed), counts(r.Refused),
		fmt.Sprint(r.BrokenPlanned), fmt.Sprint(r.BrokenUnplanned), r.poolValues(imbalance), r.poolValues(window),
		milliseconds(r.Check.P50), milliseconds(r.Check.P99), milliseconds(r.Check.P999),
		fmt.Sprintf("%.0f", r.ControlTraffic.Mean), fmt.Sprintf("%.0f", r.ControlTraffic.Max),
		fmt.Sprintf("%.1f%%", 100*r.SecondHopShare), r.violations(),
	}
}

// poolValues lists one value for each pool, in the order of the site.
func (r Result) poolValues(value func(PoolResult) float64) string {
	var parts []string
	for _, p := range r.Pools {
		parts = append(parts, fmt.Sprintf("%.2f", value(p)))
	}
	return strings.Join(parts, "/")
}

func (r Result) violations() string {
	if r.ViolationCount == 0 {
		return "0"
	}
	return fmt.Sprintf("%d (%s)", r.ViolationCount, counts(r.Violations))
}

// counts lists names with their counts, sorted by name, or 0 if there are none.
func counts[K ~string](m map[K]int) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, m[k]))
	}
	if len(parts) == 0 {
		return "0"
	}
	return strings.Join(parts, ", ")
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%dms", d.Round(time.Millisecond).Milliseconds())
}
