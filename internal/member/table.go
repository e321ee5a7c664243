package member

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/pause"
)

// tickInterval is the interval of the table's loop. Timeouts are detected up to
// one interval late.
const tickInterval = 100 * time.Millisecond

// Config configures a Table.
type Config struct {
	// Self is the daemon's own record. If its Incarnation is 0, the table uses the
	// current time in milliseconds.
	Self Member
	// ExpectPeers is set if other VMs are configured or listed. The daemon is then
	// eligible only after a peer has acknowledged it, or after IsolationTimeout
	// without any peer. A daemon that expects no peers is eligible at once.
	ExpectPeers bool
	Events      *events.Logger
	Metrics     *metrics.Registry
}

// Table holds the member records of one region. It is safe for concurrent use.
type Table struct {
	cfg           Config
	pauseDetector *pause.Detector
	view          atomic.Pointer[View]

	mu          sync.Mutex
	self        Member
	records     map[Name]*record // all members except self
	ring        []*record        // the same records in ring order
	eligibility eligibility
	// refutationLimiter limits how often this daemon raises its incarnation.
	refutationLimiter *rate.Limiter

	pending    []notification
	delivering bool
	onChange   []func(*View)
	onRecords  []func([]Member, Name)
}

// notification is a change for which the callbacks have not run yet.
type notification struct {
	view    *View
	records []Member
	from    Name
}

// New returns a Table that contains only the daemon itself.
func New(cfg Config) (*Table, error) {
	now := time.Now()
	if cfg.Self.Incarnation == 0 {
		cfg.Self.Incarnation = uint64(now.UnixMilli())
	}
	cfg.Self.State = Alive
	if err := cfg.Self.Validate(); err != nil {
		return nil, err
	}
	t := &Table{
		cfg: cfg, pauseDetector: pause.New(now), self: cfg.Self,
		records:           make(map[Name]*record),
		eligibility:       eligibility{granted: !cfg.ExpectPeers, pendingSince: now, lastHeartbeat: now},
		refutationLimiter: rate.NewLimiter(refutationRate, refutationBurst),
	}
	t.view.Store(newView(t.self, []Member{t.self}, t.eligibility.granted))
	return t, nil
}

// View returns the current view of all members.
func (t *Table) View() *View { return t.view.Load() }

// OnChange registers f, which is called with each new view, in order. A view is
// skipped if a newer one exists before its callbacks start, so that a burst of
// changes does not call a slow callback once per change. Callbacks must be short:
// one that takes longer than MaxPause delays the table's loop and makes the daemon
// ineligible. They may call the table's methods.
func (t *Table) OnChange(f func(v *View)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onChange = append(t.onChange, f)
}

// OnRecords registers f, which is called with the changed records that must be
// sent to the peers, in order and before the callbacks of OnChange. changed may
// be empty. from is the peer that sent the records, or empty if the change
// originated in this daemon. f must not block.
func (t *Table) OnRecords(f func(changed []Member, from Name)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onRecords = append(t.onRecords, f)
}

// Eligible reports whether the daemon may open flows and decide about them at
// now. It returns false if the table's loop has not run for longer than MaxPause,
// so that a daemon that resumes after a pause decides nothing before the loop has
// detected the pause. The caller must read now after the packet has arrived.
// Eligible does not allocate.
func (t *Table) Eligible(now time.Time) bool {
	return t.view.Load().Eligible && t.pauseDetector.Gap(now) <= MaxPause
}

// Run detects failed members and pauses of this daemon, and removes expired
// records, until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	t.pauseDetector.Mark(time.Now())
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			t.tick(time.Now())
		}
	}
}

// tick runs one iteration of the table's loop.
func (t *Table) tick(now time.Time) {
	t.mu.Lock()
	changed := t.checkPause(now)
	changed = append(changed, t.checkSilence(now)...)
	changed = append(changed, t.checkSuspicions(now)...)
	removed := t.removeExpired(now)
	granted := t.checkIsolation(now)
	if len(changed) > 0 || removed || granted {
		t.publish(changed, "")
	}
	// Mark must come last. After a pause, Eligible returns false because of the gap
	// until here, and because of the published view from here on.
	t.pauseDetector.Mark(now)
	t.mu.Unlock()
	t.deliver()
}

// checkPause makes the daemon ineligible after a pause of the loop, and raises its
// incarnation, which peers must acknowledge. It returns the daemon's new record.
// The timers of silence and suspicions restart, because messages that arrived
// during the pause have not been handled yet.
func (t *Table) checkPause(now time.Time) []Member {
	gap := t.pauseDetector.Gap(now)
	if gap <= MaxPause {
		return nil
	}
	t.cfg.Events.Log(events.DaemonPaused, zap.Duration("pause", gap))
	for _, r := range t.records {
		r.restartTimers(now)
	}
	t.eligibility = eligibility{pendingSince: now, lastHeartbeat: t.eligibility.lastHeartbeat}
	t.self.Incarnation++
	return []Member{t.self}
}

// checkIsolation makes the daemon eligible if it is isolated, and reports whether
// it did.
func (t *Table) checkIsolation(now time.Time) bool {
	if t.eligibility.granted || !t.eligibility.isolated(now) {
		return false
	}
	t.grantEligibility("no peer reachable")
	return true
}

// grantEligibility makes the daemon eligible and logs the reason.
func (t *Table) grantEligibility(reason string) {
	t.eligibility.granted = true
	t.cfg.Events.Log(events.DaemonEligible, zap.String("reason", reason),
		zap.Uint64("incarnation", t.self.Incarnation))
}

// publish stores a new view and queues the callbacks. The caller holds t.mu.
func (t *Table) publish(changed []Member, from Name) {
	members := make([]Member, 0, len(t.ring)+1)
	for _, r := range t.ring {
		members = append(members, r.Member)
	}
	members = slices.Insert(members, ringPosition(t.ring, t.self.Name), t.self)
	v := newView(t.self, members, t.eligibility.granted)
	t.view.Store(v)
	t.pending = append(t.pending, notification{view: v, records: changed, from: from})
}

// deliver runs the queued callbacks in the order of the changes, without holding
// t.mu. If another goroutine is already in deliver, it runs them instead.
func (t *Table) deliver() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.delivering {
		return
	}
	t.delivering = true
	defer func() { t.delivering = false }()
	for len(t.pending) > 0 {
		batch := t.pending
		t.pending = nil
		onChange, onRecords := t.onChange, t.onRecords
		t.mu.Unlock()
		for _, n := range batch {
			for _, f := range onRecords {
				f(n.records, n.from)
			}
		}
		for _, f := range onChange {
			f(batch[len(batch)-1].view)
		}
		t.mu.Lock()
	}
}
