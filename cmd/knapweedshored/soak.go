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

// Limits of the soak, so that it stays within a few hundred processes.
const (
	maxSoakDaemons = 100
	maxSoakJobs    = 4
)

// errSoakFailed makes soak fail after its reports were written.
var errSoakFailed = errors.New("a promise was broken; see the reports")

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run daemons as separate processes and inject random faults from outside",
		Description: `Starts entry daemons as processes on loopback addresses, with callers, backend
servers, the store and relays of all connections in this one. Faults drawn from a
seed come in series and overlap; the promises are checked meanwhile. The schedule
and the logs of a seed that failed are kept. docs/soak.md says what is checked.

Examples:
  knapweedshored soak --seeds 50
  knapweedshored soak --regressions --jobs 3
  knapweedshored soak --seed 17 --verbose
  knapweedshored soak --seed 17 --shrink
  knapweedshored soak --seed 17 --step 3 --step 8`,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Usage: "first `SEED`; drawn at random if it is 0"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "play `N` seeds from the first one on"},
			&cli.BoolFlag{Name: "regressions", Usage: "play all seeds that have ever failed instead"},
			&cli.IntFlag{Name: "jobs", Value: 1, Usage: "play `N` seeds at the same time"},
			&cli.DurationFlag{Name: "faults", Value: 15 * time.Second, Usage: "begin faults for `TIME`"},
			&cli.IntFlag{Name: "zones", Value: 3, Usage: "`N` availability zones"},
			&cli.IntFlag{Name: "daemons", Value: 3, Usage: "`N` daemons in each zone"},
			&cli.IntSliceFlag{Name: "step", Usage: "play only the step with this `NUMBER`; repeatable"},
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
		return errors.Wrap(err, "find the program's own file")
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
	var seeds []uint64
	for i := range cmd.Int("seeds") {
		seeds = append(seeds, config.Seed+uint64(i))
	}
	if cmd.Bool("regressions") {
		seeds = nil
		for _, r := range soak.Regressions {
			seeds = append(seeds, r.Seed)
		}
	}
	return playSeeds(ctx, config, seeds, cmd.Int("jobs"), cmd.Bool("shrink"), cmd.Root().Writer)
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
	case cmd.Int("jobs") < 1 || cmd.Int("jobs") > maxSoakJobs:
		return c, usage.Errorf("--jobs is %d, want 1 to %d", cmd.Int("jobs"), maxSoakJobs)
	case c.FaultPhase <= 0:
		return c, usage.Errorf("--faults is %s, want more than 0", c.FaultPhase)
	}
	return c, nil
}

// playSeeds plays seeds one after the other in each job and writes their reports.
func playSeeds(ctx context.Context, config soak.Config, seeds []uint64, jobs int, shrink bool, out io.Writer) error {
	waiting := make(chan uint64, len(seeds))
	for _, seed := range seeds {
		waiting <- seed
	}
	close(waiting)
	var mu sync.Mutex // guards failure and out
	var failure error
	var group conc.WaitGroup
	for range jobs {
		group.Go(func() {
			for seed := range waiting {
				if ctx.Err() != nil {
					return
				}
				c := config
				c.Seed = seed
				report, err := playSeed(ctx, c, shrink)
				mu.Lock()
				if report != nil {
					fmt.Fprint(out, report)
				}
				if err != nil {
					failure = errors.Join(failure, errors.Wrapf(err, "seed %d", seed))
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	return failure
}

func playSeed(ctx context.Context, c soak.Config, shrink bool) (*soak.Report, error) {
	report, err := soak.Run(ctx, c)
	if err == nil && !report.OK() && shrink {
		report, err = shrinkSeed(ctx, c, report)
	}
	if err == nil && !report.OK() {
		err = errSoakFailed
	}
	return report, err
}

// shrinkSeed returns the report of the smallest schedule found that still fails.
func shrinkSeed(ctx context.Context, c soak.Config, report *soak.Report) (*soak.Report, error) {
	var failure error
	soak.Shrink(report.Schedule, func(s soak.Schedule) bool {
		c.Steps = s.Numbers()
		smaller, err := soak.Run(ctx, c)
		if err != nil {
			failure = err
			return false
		}
		if !smaller.OK() {
			report = smaller
		}
		return !smaller.OK()
	})
	return report, failure
}
