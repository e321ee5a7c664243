package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"github.com/urfave/cli/v3"

	"knapweedshore.example/cmd/usage"
	"knapweedshore.example/standin/soak"
)

// Limits that keep a soak within a few hundred processes.
const (
	maxSoakDaemons = 100
	maxSoakJobs    = 4
)

// Limits of a seed's restores, which each take up to 20 s, and of its evacuations.
const (
	maxSoakRestores    = 10
	maxSoakEvacuations = 10
)

// errSoakFailed is returned for a seed whose report has violations.
var errSoakFailed = errors.New("a promise was broken; see the reports")

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run daemons as separate processes and inject random faults from outside",
		Description: `Starts entry daemons as processes on loopback addresses. Callers, backend servers,
the store and the relays of all connections run in this process. Random faults,
determined by a seed, follow each other and overlap while the promises are checked.
The schedule and the logs of a failed seed are kept. docs/soak.md describes the
checks.

Examples:
  knapweedshored soak --seeds 50
  knapweedshored soak --regressions --jobs 3
  knapweedshored soak --seed 17 --verbose
  knapweedshored soak --seed 17 --shrink
  knapweedshored soak --seed 17 --step 3 --step 8`,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "first `SEED`; 0 chooses one at random"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "run `N` seeds, starting with the first"},
			&cli.BoolFlag{Name: "regressions", Usage: "run all seeds that failed in the past instead"},
			&cli.IntFlag{Name: "jobs", Value: 1, Usage: "run `N` seeds at the same time"},
			&cli.DurationFlag{Name: "faults", Value: 15 * time.Second, Usage: "start faults for `TIME`"},
			&cli.IntFlag{Name: "zones", Value: 3, Usage: "`N` availability zones"},
			&cli.IntFlag{Name: "daemons", Value: 3, Usage: "`N` daemons in each zone"},
			&cli.IntFlag{Name: "restores", Value: 1, Usage: "restore the store from a backup `N` times in seeds with faults of the whole store"},
			&cli.IntFlag{Name: "evacuations", Value: 1, Usage: "evacuate a zone `N` times"},
			&cli.IntSliceFlag{Name: "step", Usage: "run only the step with this `NUMBER`; repeatable"},
			&cli.BoolFlag{Name: "shrink", Usage: "look for a smaller schedule that still fails"},
			&cli.BoolFlag{Name: "verbose", Usage: "write each step to standard error"},
			&cli.StringFlag{Name: "out", Value: "soak", Usage: "keep the logs of failed seeds in `DIR`"},
		},
		Action: withoutArguments(runSoak),
	}
}

func runSoak(ctx context.Context, cmd *cli.Command) error {
	self, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find own executable")
	}
	config, err := soakConfig(cmd)
	if err != nil {
		return err
	}
	config.Command = func(settings string) (string, []string, []string) {
		return self, []string{"entry", "--config", settings}, nil
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	var runs []soak.Config
	for i := range cmd.Int("seeds") {
		c := config
		c.Seed += uint64(i)
		c.Evacuations = cmd.Int("evacuations")
		if soak.HasStoreFaults(c.Seed) {
			c.Restores = cmd.Int("restores")
		}
		runs = append(runs, c)
	}
	if cmd.Bool("regressions") {
		runs = nil
		for _, r := range soak.Regressions {
			c := config
			c.Seed, c.Restores = r.Seed, r.Restores
			runs = append(runs, c)
		}
	}
	return runSeeds(ctx, runs, cmd.Int("jobs"), cmd.Bool("shrink"), cmd.Root().Writer)
}

func soakConfig(cmd *cli.Command) (soak.Config, error) {
	c := soak.Config{
		Seed: cmd.Uint64("seed"), FaultPhase: cmd.Duration("faults"), Zones: cmd.Int("zones"), DaemonsPerZone: cmd.Int("daemons"),
		Steps: cmd.IntSlice("step"), OutputDir: cmd.String("out"), Progress: func(string) {}, MaxMemory: soak.MinMachineMemory,
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64N(1 << 32)
	}
	if cmd.Bool("verbose") {
		c.Progress = func(line string) { fmt.Fprintln(cmd.Root().ErrWriter, line) }
	}
	switch total := c.Zones * c.DaemonsPerZone; {
	case c.Zones < 1 || c.DaemonsPerZone < 1 || total < 2 || total > maxSoakDaemons:
		return c, usage.Errorf("--zones times --daemons is %d, want 2 to %d", total, maxSoakDaemons)
	case cmd.Int("seeds") < 1:
		return c, usage.Errorf("--seeds is %d, want at least 1", cmd.Int("seeds"))
	case cmd.Int("restores") < 0 || cmd.Int("restores") > maxSoakRestores:
		return c, usage.Errorf("--restores is %d, want 0 to %d", cmd.Int("restores"), maxSoakRestores)
	case cmd.Int("evacuations") < 0 || cmd.Int("evacuations") > maxSoakEvacuations:
		return c, usage.Errorf("--evacuations is %d, want 0 to %d", cmd.Int("evacuations"), maxSoakEvacuations)
	case cmd.Int("jobs") < 1 || cmd.Int("jobs") > maxSoakJobs:
		return c, usage.Errorf("--jobs is %d, want 1 to %d", cmd.Int("jobs"), maxSoakJobs)
	case c.FaultPhase <= 0:
		return c, usage.Errorf("--faults is %s, want more than 0", c.FaultPhase)
	}
	return c, nil
}

// runSeeds runs seeds with a number of concurrent jobs and writes their reports.
func runSeeds(ctx context.Context, runs []soak.Config, jobs int, shrink bool, out io.Writer) error {
	pending := make(chan soak.Config, len(runs))
	for _, c := range runs {
		pending <- c
	}
	close(pending)
	var mu sync.Mutex // guards errs and out
	var errs error
	var group conc.WaitGroup
	for range jobs {
		group.Go(func() {
			for c := range pending {
				if ctx.Err() != nil {
					return
				}
				report, err := runSeed(ctx, c, shrink)
				mu.Lock()
				if report != nil {
					fmt.Fprint(out, report)
				}
				if err != nil {
					errs = errors.Join(errs, errors.Wrapf(err, "seed %d", c.Seed))
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return errs
}

// runSeed runs one seed, and shrinks its schedule if it fails and shrink is set.
func runSeed(ctx context.Context, c soak.Config, shrink bool) (*soak.Report, error) {
	report, err := soak.Run(ctx, c)
	if err == nil && !report.OK() && shrink {
		report, err = shrinkSeed(ctx, c, report)
	}
	if err == nil && !report.OK() {
		err = errSoakFailed
	}
	return report, err
}

// shrinkSeed looks for a smaller schedule that still fails, and returns the report of
// the smallest one found.
func shrinkSeed(ctx context.Context, c soak.Config, report *soak.Report) (*soak.Report, error) {
	var runErr error
	soak.Shrink(report.Schedule, func(s soak.Schedule) bool {
		c.Steps = s.Numbers()
		smaller, err := soak.Run(ctx, c)
		if err != nil {
			runErr = err
			return false
		}
		if !smaller.OK() {
			report = smaller
		}
		return !smaller.OK()
	})
	return report, runErr
}
