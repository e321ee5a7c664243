package site

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"knapweedshore.example/internal/selection"
	"knapweedshore.example/standin/backend"
)

const (
	// DefaultDuration is the default time during which callers open flows.
	DefaultDuration = 14 * time.Second
	// flowFinishTimeout is the time that open flows have to complete after callers
	// stop opening new ones. Flows that are still open then count as broken. It only
	// ends a run that would not end otherwise: a flow that gets no response breaks by
	// the timeouts of its caller, and one that gets its response slowly, on a busy
	// machine, is not broken.
	flowFinishTimeout = time.Minute
	// fabricUpdateDelay is the time during which the fabric still chooses a
	// balancer that is leaving or has crashed.
	fabricUpdateDelay = time.Second
	// warmUpFraction is the fraction of the duration, at the start, that the
	// imbalance excludes.
	warmUpFraction = 0.2
	// imbalanceWindow is the length of the windows of PoolSummary.WindowP99. It is
	// several times the longest time that a request occupies a slot of the slowest
	// server (100 ms).
	imbalanceWindow = 500 * time.Millisecond
)

// Config configures Run.
type Config struct {
	Site Description
	// Seed determines the flows, the changes and the fabric's random choices.
	// The scheduling of goroutines still differs between runs.
	Seed uint64
	// Duration is the time during which callers open flows; 0 means
	// DefaultDuration.
	Duration time.Duration
	// Platform runs the balancers; nil means a DaemonPlatform. Tests replace it.
	Platform Platform
	// Logger receives the daemons' log; nil means no logging.
	Logger *zap.Logger
	// NoChanges disables all changes, including the crash.
	NoChanges bool
	// Changes selects the changes unless NoChanges is set.
	Changes Changes
	// Policy returns the server selection policy for a daemon; nil means the
	// daemon's default. It applies only to a DaemonPlatform.
	Policy func() selection.Policy
}

// run is the state of one Run.
type run struct {
	config   Config
	platform Platform
	env      *environment
	progress func(line string)
	started  time.Time

	mu           sync.Mutex
	instances    []*instance
	results      []flowResult
	skipped      int
	changes      changeLog
	statsBefore  map[string]map[string]backend.Stats
	statsAfter   map[string]map[string]backend.Stats
	measuredTime time.Duration
	samples      []map[string]map[string]backend.Stats
}

// Run starts the site, runs its workload with the configured changes and returns a
// summary. Broken flows are part of the summary and not an error. progress is called
// with a line for each step and may be nil.
func Run(ctx context.Context, c Config, progress func(line string)) (*Summary, error) {
	r, err := newRun(c, progress)
	if err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.start(ctx); err != nil {
		return nil, errors.Wrapf(err, "start site %q", c.Site.Name)
	}
	if err := r.runWorkload(ctx); err != nil {
		return nil, errors.Wrapf(err, "run site %q", c.Site.Name)
	}
	return r.summary(), nil
}

func newRun(c Config, progress func(line string)) (*run, error) {
	if err := c.Site.validate(); err != nil {
		return nil, err
	}
	if c.Duration == 0 {
		c.Duration = DefaultDuration
	}
	if c.Logger == nil {
		c.Logger = zap.NewNop()
	}
	if progress == nil {
		progress = func(string) {}
	}
	r := &run{config: c, platform: c.Platform, progress: progress}
	if r.platform == nil {
		daemons, err := NewDaemonPlatform(c.Site.Region, c.Logger)
		if err != nil {
			return nil, err
		}
		daemons.policy = c.Policy
		r.platform = daemons
	}
	var err error
	if r.env, err = newEnvironment(c.Site, c.Seed); err != nil {
		r.platform.Close()
		return nil, err
	}
	return r, nil
}

func (r *run) close() {
	r.platform.Close()
	r.env.close()
}

// logf passes a line with the time since the start of the workload to progress.
func (r *run) logf(format string, args ...any) {
	elapsed := time.Duration(0)
	if !r.started.IsZero() {
		elapsed = time.Since(r.started)
	}
	r.progress(fmt.Sprintf("%6.2fs  ", elapsed.Seconds()) + fmt.Sprintf(format, args...))
}

// start writes the tables, starts the balancers and waits until all are ready.
func (r *run) start(ctx context.Context) error {
	if err := r.platform.Install(ctx, r.config.Site.Desired()); err != nil {
		return errors.Wrap(err, "install tables")
	}
	for _, vm := range r.config.Site.VMs {
		if _, err := r.startBalancer(ctx, vm); err != nil {
			return err
		}
	}
	for _, m := range r.instances {
		if err := waitReady(ctx, m.vm.Name, m.balancer, len(r.instances)); err != nil {
			return err
		}
		r.env.fabric.AddBalancer(m.balancer.DataAddress(), m.vm.Zone)
	}
	r.logf("site %q is ready: %d balancers, %d services", r.config.Site.Name, len(r.instances), len(r.config.Site.Services))
	return nil
}

func (r *run) startBalancer(ctx context.Context, vm VM) (*instance, error) {
	b, err := r.platform.StartBalancer(ctx, vm, r.env.fabric.Addr())
	if err != nil {
		return nil, err
	}
	m := &instance{vm: vm, balancer: b, state: running}
	r.mu.Lock()
	r.instances = append(r.instances, m)
	r.mu.Unlock()
	return m, nil
}

// runWorkload generates flows and makes the changes. It returns when all flows have
// ended.
func (r *run) runWorkload(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.started = time.Now()
	var (
		flows, changes conc.WaitGroup
		changesErr     error
	)
	changes.Go(func() { changesErr = r.applyChanges(ctx) })
	changes.Go(func() { r.sampleServers(ctx) })
	r.openFlows(ctx, &flows)
	r.logf("callers have stopped opening flows")
	timer := time.AfterFunc(flowFinishTimeout, cancel)
	flows.Wait()
	timer.Stop()
	r.logf("all flows have ended")
	changes.Wait()
	return changesErr
}

// sampleServers records the servers' statistics from the end of the warm-up until
// callers stop opening flows, once per imbalanceWindow.
func (r *run) sampleServers(ctx context.Context) {
	d := r.config.Duration
	from := time.Duration(float64(d) * warmUpFraction)
	if !sleepUntil(ctx, r.started.Add(from)) {
		return
	}
	began, first := time.Now(), r.serverStats()
	samples := []map[string]map[string]backend.Stats{first}
	for end := r.started.Add(d); time.Until(end) > imbalanceWindow; {
		if !sleepUntil(ctx, began.Add(time.Duration(len(samples))*imbalanceWindow)) {
			return
		}
		samples = append(samples, r.serverStats())
	}
	if !sleepUntil(ctx, r.started.Add(d)) {
		return
	}
	last := r.serverStats()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.statsBefore, r.statsAfter, r.measuredTime, r.samples = first, last, time.Since(began), samples
}

// serverStats returns the current statistics of all servers by pool and name.
func (r *run) serverStats() map[string]map[string]backend.Stats {
	stats := make(map[string]map[string]backend.Stats)
	for pool, servers := range r.env.servers {
		stats[pool] = make(map[string]backend.Stats)
		for name, s := range servers {
			stats[pool][name] = s.Stats()
		}
	}
	return stats
}

// sleepUntil waits until the given time. It returns false if ctx ended before.
func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-ctx.Done():
		return false
	}
}
