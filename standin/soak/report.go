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

// Report is what was seen in a run.
type Report struct {
	Seed     uint64
	Duration time.Duration
	Schedule Schedule
	Counts   Counts
	// ProcessStarts is how many processes were started.
	ProcessStarts int
	// Violations are broken promises, the first one first.
	Violations []string
	// LogDir holds the schedule and the logs of a run that failed.
	LogDir string
}

// OK reports whether every promise was kept.
func (r *Report) OK() bool { return len(r.Violations) == 0 }

// String returns the report for people.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d steps in %.1f s, %d processes; %d flows (%d not served), %d requests; "+
		"judged: %d flows in calm, %d openings, %d probes; violations: %d\n",
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

// report judges what the servers have seen and returns the result of the run.
func (j *judge) report(s *site, took time.Duration) *Report {
	executed := map[string]int{}
	for _, host := range s.servers {
		for _, b := range host.past {
			_, forged, _ := b.Counts()
			if forged > 0 {
				j.violated("server %s got %d packets that their sender did not write so", b.ID, forged)
			}
			for request, times := range b.Executed() {
				executed[request] += times
				if pool, _, _ := strings.Cut(request, " "); pool != b.Pool {
					j.violated("server %s of %s ran %q", b.ID, b.Pool, request)
				}
			}
		}
	}
	for _, request := range slices.Sorted(maps.Keys(executed)) {
		if times := executed[request]; times > 1 {
			j.violated("request %q was run %d times", request, times)
		}
	}
	r := &Report{Seed: s.config.Seed, Duration: took}
	for _, m := range s.machines {
		r.ProcessStarts += m.starts
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	r.Counts, r.Violations = j.counts, j.violations
	return r
}

// save keeps the report, the schedule and the logs of all processes.
func (r *Report) save(logs string) error {
	if err := os.RemoveAll(r.LogDir); err != nil {
		return errors.Wrap(err, "remove the folder of an earlier run")
	}
	if err := os.CopyFS(r.LogDir, os.DirFS(logs)); err != nil {
		return errors.Wrap(err, "keep the logs")
	}
	text := r.String() + "\n" + r.Schedule.String()
	if err := os.WriteFile(filepath.Join(r.LogDir, "report.txt"), []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write the report")
	}
	return nil
}
