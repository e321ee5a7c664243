package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/standin/site"
)

// Runner runs a site once, as site.Run does.
type Runner func(ctx context.Context, c site.Config, progress func(line string)) (*site.Summary, error)

// Options configures a bench.
type Options struct {
	Sites    []site.Description
	Settings []string
	Policies []string
	Seed     uint64
	// Duration is how long each run opens flows.
	Duration time.Duration
	// Run defaults to site.Run; tests replace it.
	Run Runner
	// Progress, unless nil, is called with progress messages.
	Progress func(line string)
}

// Run makes the runs one after another: for each site and setting, one run with
// each policy. If a run fails, it returns the error and a report of the runs
// before it.
func Run(ctx context.Context, o Options) (*Report, error) {
	if o.Run == nil {
		o.Run = site.Run
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	report := &Report{Seed: o.Seed, Duration: o.Duration}
	total := len(o.Sites) * len(o.Settings) * len(o.Policies)
	for _, d := range o.Sites {
		for _, setting := range o.Settings {
			for _, policy := range o.Policies {
				name := fmt.Sprintf("run %d of %d: %s %s %s", len(report.Results)+1, total, d.Name, setting, policy)
				o.Progress(name)
				result, err := o.runOne(ctx, d, setting, policy)
				if err != nil {
					return report, errors.Wrap(err, name)
				}
				report.Results = append(report.Results, result)
			}
		}
	}
	report.Comparisons = compare(report.Results)
	report.Goals = goals(report.Results, report.Comparisons)
	return report, nil
}

// runOne makes one run with the policy of the given name.
func (o Options) runOne(ctx context.Context, d site.Description, setting, name string) (Result, error) {
	policy, err := PolicyByName(name)
	if err != nil {
		return Result{}, err
	}
	c := site.Config{Site: d, Seed: o.Seed, Duration: o.Duration, Policy: policy.perDaemon(o.Seed)}
	if err := applySetting(setting, &c); err != nil {
		return Result{}, err
	}
	summary, err := o.Run(ctx, c, func(line string) { o.Progress("  " + line) })
	if err != nil {
		return Result{}, err
	}
	if err := ctx.Err(); err != nil {
		return Result{}, errors.Wrap(err, "run is incomplete")
	}
	return newResult(setting, name, summary)
}
