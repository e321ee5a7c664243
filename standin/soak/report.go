package soak

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Duration time.Duration
	Schedule Schedule
	Counts   Counts
	// ProcessStarts is the number of processes started.
	ProcessStarts int
	// Violations describe the broken promises in the order of their detection.
	Violations []string
	// LogDir is the directory with the report, the schedule and the logs of a failed
	// run; it is empty if they were not saved.
	LogDir string
}

// OK reports whether there were no violations.
func (r *Report) OK() bool { return len(r.Violations) == 0 }

// String returns the report in a readable form.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d steps in %.1f s, %d processes; %d flows (%d not served), %d requests; "+
		"checked: %d flows without faults, %d openings, %d probes; violations: %d\n",
		r.Seed, len(r.Schedule), r.Duration.Seconds(), r.ProcessStarts, r.Counts.Flows, r.Counts.FailedFlows, r.Counts.Requests,
		r.Counts.FaultFreeFlows, r.Counts.Openings, r.Counts.Probes, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "  %s\n", v)
	}
	if r.LogDir != "" {
		fmt.Fprintf(&b, "  schedule and logs: %s\n", r.LogDir)
	}
	return b.String()
}

// buildReport checks the counts of the servers and returns the report of the run.
func (c *checker) buildReport(s *site, duration time.Duration) *Report {
	executed := map[string]int{}
	for _, host := range s.servers {
		for _, b := range host.backends {
			_, forged, _ := b.Counts()
			if forged > 0 {
				c.addViolation("server %s got %d malformed packets or ones with a wrong checksum", b.ID, forged)
			}
			for request, count := range b.Executed() {
				executed[request] += count
				if pool, _, _ := strings.Cut(request, " "); pool != b.Pool {
					c.addViolation("server %s of pool %s executed %q", b.ID, b.Pool, request)
				}
			}
		}
	}
	for _, request := range slices.Sorted(maps.Keys(executed)) {
		if count := executed[request]; count > 1 {
			c.addViolation("request %q was executed %d times", request, count)
		}
	}
	r := &Report{Seed: s.config.Seed, Duration: duration}
	for _, m := range s.machines {
		r.ProcessStarts += m.starts
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Counts, r.Violations = c.counts, c.violations
	return r
}

// save copies the logs and settings in a directory to LogDir and writes the report and
// the schedule there.
func (r *Report) save(logs string) error {
	if err := os.RemoveAll(r.LogDir); err != nil {
		return errors.Wrap(err, "remove the logs of an earlier run")
	}
	if err := os.CopyFS(r.LogDir, os.DirFS(logs)); err != nil {
		return errors.Wrap(err, "copy the logs")
	}
	text := r.String() + "\n" + r.Schedule.String()
	if err := os.WriteFile(filepath.Join(r.LogDir, "report.txt"), []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write the report")
	}
	return nil
}
