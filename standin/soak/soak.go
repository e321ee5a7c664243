// Package soak runs a site of entry daemons as separate processes and injects faults
// from outside. Meanwhile it checks the promises of the project by what callers and
// backend servers observe. docs/soak.md describes it.
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

// Config configures a run.
type Config struct {
	// Seed determines the schedule and the random choices of callers and routers.
	Seed uint64
	// FaultPhase is the duration of the phase in which the steps of the schedule begin.
	FaultPhase time.Duration
	// Zones is the number of availability zones, and DaemonsPerZone the number of
	// daemons in each.
	Zones, DaemonsPerZone int
	// Restores is the number of restores of the store from backups.
	Restores int
	// Evacuations is the number of evacuations of zones.
	Evacuations int
	// Steps lists the numbers of the steps to run. If it is empty, all steps of the
	// schedule run.
	Steps []int
	// MaxMemory is the memory limit of a daemon process in bytes; 0 means none.
	MaxMemory int64
	// Command returns the command that starts a daemon with a settings file: its path,
	// its arguments and additional environment variables.
	Command func(settings string) (path string, args, env []string)
	// OutputDir is the directory in which the report and the logs of failed runs are
	// saved; they are not saved if it is empty.
	OutputDir string
	// Progress is called with a line for each step.
	Progress func(line string)
}

// MinMachineMemory is the memory of the platform's smallest machines in bytes.
const MinMachineMemory = 98 << 20

// Times of a run.
const (
	// warmUpTime is the time for which callers open flows before the first fault or
	// change.
	warmUpTime = 2 * time.Second
	// recoveryBound is the time after the final fault within which all daemons have to
	// be in the rotation. Afterwards at least a quarter of the flows have to be served.
	recoveryBound = 12 * time.Second
	// recoveryTime is the time after a fault within which daemons are stable again and
	// have a current directory.
	recoveryTime = 4 * time.Second
	// readyBound is the time within which a daemon that starts is in the rotation.
	readyBound = 10 * time.Second
)

// Run runs the schedule of a seed and returns the report, which lists the broken
// promises. It returns an error if the run could not be completed.
func Run(ctx context.Context, c Config) (*Report, error) {
	dir, err := os.MkdirTemp("", "knapweedshore-soak-")
	if err != nil {
		return nil, errors.Wrap(err, "create a directory for settings and logs")
	}
	defer func() { _ = os.RemoveAll(dir) }() // the logs of a failed run have been copied
	schedule := NewSchedule(c.Seed, c.FaultPhase, c.Zones, c.DaemonsPerZone).WithRestores(c.Seed, c.FaultPhase, c.Restores).
		WithEvacuations(c.Seed, c.FaultPhase, c.Zones, c.Evacuations).Select(c.Steps)
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
	report := s.checker.buildReport(s, time.Since(began))
	report.Schedule = schedule
	if !report.OK() && c.OutputDir != "" {
		report.LogDir = filepath.Join(c.OutputDir, fmt.Sprintf("seed-%d", c.Seed))
		if err := report.save(dir); err != nil {
			return report, err
		}
	}
	return report, nil
}

// play runs the traffic, the planned changes, the schedule and the final fault.
func (s *site) play(ctx context.Context, schedule Schedule) error {
	if err := s.start(ctx); err != nil {
		return err
	}
	traffic, stopTraffic := context.WithCancel(ctx)
	defer stopTraffic()
	s.startCallers(traffic)
	if !wait.For(ctx, warmUpTime) {
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

// drainCheckTime is the time after drainBound for which plannedWork checks that the
// draining server gets no new flows.
const drainCheckTime = 2 * time.Second

// plannedWork drains a server, evacuates another zone and adds a route while nothing is
// impaired, so that each run checks the promises with a time limit for every daemon.
func (s *site) plannedWork(ctx context.Context) {
	step := Step{Server: int(s.config.Seed % (1 << 16)), Duration: drainCheckTime}
	step.Zone = (s.servers[step.Server%len(s.servers)].zone + 1) % s.config.Zones
	var changes conc.WaitGroup
	changes.Go(func() { drainServer(ctx, s, step) })
	changes.Go(func() { evacuateZone(ctx, s, step) })
	changes.Go(func() { changeConfig(ctx, s, step) })
	changes.Wait()
}

// inject starts each step at its time and waits until all have ended. Steps may overlap.
func (s *site) inject(ctx context.Context, schedule Schedule) {
	began := time.Now()
	for _, step := range schedule {
		if !wait.For(ctx, time.Until(began.Add(step.At))) {
			break
		}
		s.config.Progress(step.String())
		s.steps.Go(func() { stepKinds[step.Kind].run(ctx, s, step) })
	}
	s.steps.Wait()
}
