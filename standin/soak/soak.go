// Package soak runs a site of entry daemons as separate processes, injects faults
// from outside them, and checks the promises of the project while it runs, from
// what callers and backend servers see. docs/soak.md describes it.
package soak

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"knapweedshore.example/internal/wait"
)

// Config says what to run.
type Config struct {
	// Seed determines the schedule and the callers' choices.
	Seed uint64
	// FaultPhase is for how long faults begin.
	FaultPhase time.Duration
	// Zones and DaemonsPerZone in each of them.
	Zones, DaemonsPerZone int
	// Steps lists the steps of the schedule to play; all if it is empty.
	Steps []int
	// MaxMemory is the limit of a process in bytes; 0 for none.
	MaxMemory int64
	// Command starts a daemon with a settings file.
	Command func(settings string) (path string, args, env []string)
	// OutputDir is the directory for the schedule and the logs of a run that failed.
	OutputDir string
	// Progress is told what happens.
	Progress func(line string)
}

// MinMachineMemory is the memory of the platform's smallest machines in bytes.
const MinMachineMemory = 98 << 20

// Times of a run.
const (
	// startTime is for the daemons to be ready and for callers to open flows before
	// the first fault.
	startTime = 2 * time.Second
	// recoveryBound is within which a quarter of the requests has to be served
	// after the final fault; recoveryTime is within which daemons are in touch and
	// the directory of each is current after a fault.
	recoveryBound = 12 * time.Second
	recoveryTime  = 4 * time.Second
	// readyBound is within which a daemon that starts is in the rotation.
	readyBound = 10 * time.Second
)

// Run plays one seed and returns what was seen. The error tells why a run could
// not be played; broken promises stand in the report.
func Run(ctx context.Context, c Config) (*Report, error) {
	dir, err := os.MkdirTemp("", "knapweedshore-soak-")
	if err != nil {
		return nil, errors.Wrap(err, "make a directory for the settings")
	}
	defer func() { _ = os.RemoveAll(dir) }() // it holds settings and logs of a run that is over
	schedule := NewSchedule(c.Seed, c.FaultPhase, c.Zones, c.DaemonsPerZone).Select(c.Steps)
	s, err := newSite(c, dir)
	if err != nil {
		return nil, err
	}
	began := time.Now()
	err = s.play(ctx, schedule)
	s.close()
	if err != nil {
		return nil, err
	}
	report := s.judge.report(s, time.Since(began))
	report.Schedule = schedule
	if !report.OK() && c.OutputDir != "" {
		report.LogDir = filepath.Join(c.OutputDir, fmt.Sprintf("seed-%d", c.Seed))
		if err := report.save(dir); err != nil {
			return report, err
		}
	}
	return report, nil
}

// play runs the traffic and the schedule.
func (s *site) play(ctx context.Context, schedule Schedule) error {
	if err := s.start(ctx); err != nil {
		return err
	}
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	s.startCallers(traffic)
	if !wait.For(ctx, startTime) {
		return ctx.Err()
	}
	s.plannedWork(ctx)
	s.inject(ctx, schedule)
	s.finalFault(ctx)
	s.checkRecovery(ctx)
	stopTraffic()
	s.callers.Wait()
	return ctx.Err()
}

// plannedTail is for how long flows are judged after the bound of a drain.
const plannedTail = 2 * time.Second

// plannedWork drains a server and adds a route while nothing is impaired, so that
// each run judges the promises with a bound at every daemon.
func (s *site) plannedWork(ctx context.Context) {
	step := Step{Server: int(s.config.Seed % (1 << 16)), Duration: plannedTail}
	var changes conc.WaitGroup
	changes.Go(func() { drainServer(ctx, s, step) })
	changes.Go(func() { changeConfig(ctx, s, step) })
	changes.Wait()
}

// inject begins each step at its time. Steps overlap: each runs beside the others
// until it has ended itself.
func (s *site) inject(ctx context.Context, schedule Schedule) {
	began := time.Now()
	for _, step := range schedule {
		if !wait.For(ctx, time.Until(began.Add(step.At))) {
			break
		}
		s.config.Progress(step.String())
		s.steps.Go(func() { kinds[step.Kind].run(ctx, s, step) })
	}
	s.steps.Wait()
}
