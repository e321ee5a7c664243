package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"knapweedshore.example/cmd/usage"
	"knapweedshore.example/standin/bench"
	"knapweedshore.example/standin/site"
)

// defaultBenchDuration keeps the 36 runs of all sites, settings and policies within
// 8 minutes. Each run takes some seconds longer, until its flows have ended.
const defaultBenchDuration = 6 * time.Second

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "compare policies for choosing servers on whole sites in this process",
		Description: `Runs reference sites with real daemons on loopback addresses, once for each
setting and policy. The runs are sequential and use the same seed and arrivals.
Progress goes to standard error, the report to standard output.

Examples:
  knapweedshored bench
  knapweedshored bench --site quesada --setting steady --policy chooser --policy random
  knapweedshored bench --seed 7 --duration 30s --output json --plots plots > bench.json`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "site", Value: []string{"quesada", "sullam"}, Usage: "`NAME` of a site: dev, quesada or sullam; repeatable"},
			&cli.StringSliceFlag{Name: "setting", Value: bench.Settings(), Usage: "`NAME` of a setting; repeatable"},
			&cli.StringSliceFlag{Name: "policy", Value: bench.Policies(), Usage: "`NAME` of a policy; repeatable"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`NUMBER` that determines flows, changes and the fabric's choices"},
			&cli.DurationFlag{Name: "duration", Value: defaultBenchDuration, Usage: "open flows for `TIME` in each run"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: outputText, Usage: "`FORMAT` of the report: text or json"},
			&cli.StringFlag{Name: "plots", Usage: "write SVG charts to `DIR`"},
		},
		Action: withoutArguments(runBench),
	}
}

func runBench(ctx context.Context, cmd *cli.Command) error {
	options, err := benchOptions(cmd)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, runErr := bench.Run(ctx, options)
	// Write the results of the runs that completed before a failure, too.
	if err := writeBench(cmd, report); err != nil {
		return err
	}
	return runErr
}

func benchOptions(cmd *cli.Command) (bench.Options, error) {
	o := bench.Options{
		Settings: cmd.StringSlice("setting"), Policies: cmd.StringSlice("policy"),
		Seed: cmd.Uint64("seed"), Duration: cmd.Duration("duration"),
		Progress: func(line string) { fmt.Fprintln(cmd.Root().ErrWriter, line) },
	}
	for _, name := range cmd.StringSlice("site") {
		d, ok := site.ByName(name)
		if !ok {
			return o, usage.Errorf("--site is %q, want dev, quesada or sullam", name)
		}
		o.Sites = append(o.Sites, d)
	}
	if err := checkNames("setting", o.Settings, bench.Settings()); err != nil {
		return o, err
	}
	if err := checkNames("policy", o.Policies, bench.Policies()); err != nil {
		return o, err
	}
	if f := cmd.String("output"); f != outputText && f != outputJSON {
		return o, usage.Errorf("--output is %q, want %s or %s", f, outputText, outputJSON)
	}
	if o.Duration < minDevDuration {
		return o, usage.Errorf("--duration is %s, want at least %s for all changes", o.Duration, minDevDuration)
	}
	return o, nil
}

// checkNames returns an error if one of the names given with a flag is not allowed.
func checkNames(flag string, names, allowed []string) error {
	for _, name := range names {
		if !slices.Contains(allowed, name) {
			return usage.Errorf("--%s is %q, want one of %s", flag, name, strings.Join(allowed, ", "))
		}
	}
	return nil
}

func writeBench(cmd *cli.Command, report *bench.Report) error {
	write := report.WriteText
	if cmd.String("output") == outputJSON {
		write = report.WriteJSON
	}
	if err := write(cmd.Root().Writer); err != nil {
		return err
	}
	dir := cmd.String("plots")
	if dir == "" {
		return nil
	}
	if err := report.WritePlots(dir); err != nil {
		return errors.Wrap(err, "--plots")
	}
	return nil
}
