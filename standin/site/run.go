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
	// DefaultDuration is how long callers open flows.
	DefaultDuration = 14 * time.Second
	// finishTime is how long flows may go on after that. A flow that still
	// runs then counts as broken.
	finishTime = 10 * time.Second
	// fabricLag is how long the fabric goes on choosing a balancer that has
	// announced its leave or has crashed.
	fabricLag = time.Second
	// warmUp is the part of the duration that imbalance leaves out.
	warmUp = 0.2
	// window is the time over which one value of PoolSummary.WindowP99 is
	// taken: several times the slowest server's longest slot time (100 ms).
	window = 500 * time.Millisecond
)

// Config is what Run needs.
type Config struct {
	Site Description
	// Seed determines the flows, the changes and the fabric's choices. The
	// timing of goroutines still differs between runs.
	Seed uint64
	// Duration replaces DefaultDuration.
	Duration time.Duration
	// Platform replaces the daemons of this process, for tests.
	Platform Platform
	// Logger takes the daemons' log; nothing is logged by default.
	Logger *zap.Logger
	// NoChanges leaves out all changes and the crash.
	NoChanges bool
	// Changes are those of a run that is not Still.
	Changes Changes
	// Policy makes the choice of servers of each daemon; nil leaves them their
	// own. It does not apply to a replaced Platform.
	Policy func() selection.Policy
}

// run is one run of a site.
type run struct {
	config      Config
	platform    Platform
	environment *environment
	progress    func(line string)
	started     time.Time

	mu       sync.Mutex
	members  []*instance
	results  []flowResult
	skipped  int
	changes  changeTimes
	busyFrom map[string]map[string]backend.Stats
	busyTo   map[string]map[string]backend.Stats
	measured time.Duration
	windows  []map[string]map[string]backend.Stats
}

// Run assembles the site, runs its workload with the changes, and reports.
// Flows that break are no error but part of the summary.
func Run(ctx context.Context, c Config, progress func(line string)) (*Summary, error) {
	r, err := newRun(c, progress)
	if err != nil {
		return nil, err
	}
	defer r.close()
	if err := r.start(ctx); err != nil {
		return nil, errors.Wrapf(err, "start site %q", c.Site.Name)
	}
	if err := r.work(ctx); err != nil {
		return nil, errors.Wrapf(err, "run site %q", c.Site.Name)
	}
	return r.summary(), nil
}

func newRun(c Config, progress func(line string)) (*run, error) {
	if err := c.Site.check(); err != nil {
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
	if r.environment, err = newEnvironment(c.Site, c.Seed); err != nil {
		r.platform.Close()
		return nil, err
	}
	return r, nil
}

func (r *run) close() {
	r.platform.Close()
	r.environment.close()
}

func (r *run) report(format string, args ...any) {
	at := time.Duration(0)
	if !r.started.IsZero() {
		at = time.Since(r.started)
	}
	r.progress(fmt.Sprintf("%6.2fs  ", at.Seconds()) + fmt.Sprintf(format, args...))
}

// start publishes the tables and runs the balancers until all are ready.
func (r *run) start(ctx context.Context) error {
	if err := r.platform.Install(ctx, r.config.Site.Desired()); err != nil {
		return errors.Wrap(err, "install tables")
	}
	for _, vm := range r.config.Site.VMs {
		if _, err := r.startBalancer(ctx, vm); err != nil {
			return err
		}
	}
	for _, m := range r.members {
		if err := waitReady(ctx, m.vm.Name, m.balancer, len(r.members)); err != nil {
			return err
		}
		r.environment.fabric.AddBalancer(m.balancer.DataAddress(), m.vm.Zone)
	}
	r.report("site %q is ready: %d balancers, %d services", r.config.Site.Name, len(r.members), len(r.config.Site.Services))
	return nil
}

func (r *run) startBalancer(ctx context.Context, vm VM) (*instance, error) {
	b, err := r.platform.StartBalancer(ctx, vm, r.environment.fabric.Addr())
	if err != nil {
		return nil, err
	}
	m := &instance{vm: vm, balancer: b, state: running}
	r.mu.Lock()
	r.members = append(r.members, m)
	r.mu.Unlock()
	return m, nil
}

// work runs callers and changes until all flows have ended.
func (r *run) work(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.started = time.Now()
	var (
		flows, changes conc.WaitGroup
		failed         error
	)
	changes.Go(func() { failed = r.change(ctx) })
	changes.Go(func() { r.measure(ctx) })
	r.openFlows(ctx, &flows)
	r.report("no more flows are opened")
	timer := time.AfterFunc(finishTime, cancel)
	flows.Wait()
	timer.Stop()
	r.report("all flows have ended")
	changes.Wait()
	return failed
}

// measure notes the servers' busy time after the warm-up and when the last
// flow has been opened.
func (r *run) measure(ctx context.Context) {
	d := r.config.Duration
	from := time.Duration(float64(d) * warmUp)
	if !sleepUntil(ctx, r.started.Add(from)) {
		return
	}
	began, first := time.Now(), r.serverStats()
	samples := []map[string]map[string]backend.Stats{first}
	for end := r.started.Add(d); time.Until(end) > window; {
		if !sleepUntil(ctx, began.Add(time.Duration(len(samples))*window)) {
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
	r.busyFrom, r.busyTo, r.measured, r.windows = first, last, time.Since(began), samples
}

func (r *run) serverStats() map[string]map[string]backend.Stats {
	stats := make(map[string]map[string]backend.Stats)
	for pool, servers := range r.environment.servers {
		stats[pool] = make(map[string]backend.Stats)
		for name, s := range servers {
			stats[pool][name] = s.Stats()
		}
	}
	return stats
}

// sleepUntil reports whether the time came before ctx ended.
func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return true
	case <-ctx.Done():
		return false
	}
}
