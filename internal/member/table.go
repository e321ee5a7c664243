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

// tickInterval is the period of the table's loop. It bounds how late a silent
// member is noticed.
const tickInterval = 100 * time.Millisecond

// Config holds what a Table needs.
type Config struct {
	// Self is the daemon's own record. An Incarnation of 0 stands for the
	// start time in milliseconds.
	Self Member
	// ExpectPeers is set if other VMs are configured or listed. The daemon
	// then has no standing until a peer acknowledges it, or until
	// IsolationWait has passed without any peer. A daemon that expects no
	// peers has standing at once.
	ExpectPeers bool
	Events      *events.Logger
	Metrics     *metrics.Registry
}

// Table holds the member records of one region. It is safe for concurrent use.
type Table struct {
	cfg   Config
	clock *pause.Detector
	view  atomic.Pointer[View]

	mu       sync.Mutex
	self     Member
	records  map[Name]*record // all but self
	ring     []*record        // the same in ring order
	standing standing
	// refutations limits how often this daemon raises its incarnation.
	refutations *rate.Limiter

	pending    []notice
	delivering bool
	onChange   []func(*View)
	onRecords  []func([]Member, Name)
}

// notice is one change that callbacks have not seen yet.
type notice struct {
	view    *View
	records []Member
	from    Name
}

// New returns a Table that knows only the daemon itself.
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
		cfg: cfg, clock: pause.New(now), self: cfg.Self,
		records:     make(map[Name]*record),
		standing:    standing{held: !cfg.ExpectPeers, missing: now, lastHeard: now},
		refutations: rate.NewLimiter(refutationRate, refutationBurst),
	}
	t.view.Store(newView(t.self, []Member{t.self}, t.standing.held))
	return t, nil
}

// View returns the current picture of all members.
func (t *Table) View() *View { return t.view.Load() }

// OnChange registers f, which is called after each change of the view, in
// order. A view is left out if a newer one exists before its turn, so that a
// burst of changes costs slow callbacks only their last state. Callbacks must
// be short: one that takes as long as PauseLimit holds up the table's loop and
// costs the daemon its standing. They may use the table.
func (t *Table) OnChange(f func(v *View)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onChange = append(t.onChange, f)
}

// OnRecords registers f, which is called in order with the records that
// changed and are to be sent to the peers, before the callbacks of OnChange.
// There may be none. from is the peer that sent them, or empty if the change
// began here. f must not block.
func (t *Table) OnRecords(f func(changed []Member, from Name)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onRecords = append(t.onRecords, f)
}

// Eligible reports whether the daemon may decide about flows at now. It is
// false as soon as the table's loop has not run for PauseLimit, so a daemon
// that resumes after a pause makes no decision before the loop has noticed.
// The caller must read now after the packet has arrived. It allocates nothing.
func (t *Table) Eligible(now time.Time) bool {
	return t.view.Load().Eligible && t.clock.Gap(now) <= PauseLimit
}

// Run declares deaths, notices pauses and forgets old records until ctx ends.
func (t *Table) Run(ctx context.Context) error {
	t.clock.Mark(time.Now())
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

func (t *Table) tick(now time.Time) {
	t.mu.Lock()
	changed := t.checkPause(now)
	changed = append(changed, t.checkSilence(now)...)
	changed = append(changed, t.checkSuspicions(now)...)
	forgotten := t.forgetOld(now)
	regained := t.checkIsolation(now)
	if len(changed) > 0 || forgotten || regained {
		t.publish(changed, "")
	}
	// The clock is set last: until then Standing refuses by the gap, and from
	// then on by the published view.
	t.clock.Mark(now)
	t.mu.Unlock()
	t.deliver()
}

// checkPause takes the standing away after a gap of the loop, and announces a
// new incarnation for peers to acknowledge. Silence and suspicions are timed
// anew, because messages that arrived during the pause are not handled yet.
func (t *Table) checkPause(now time.Time) []Member {
	gap := t.clock.Gap(now)
	if gap <= PauseLimit {
		return nil
	}
	t.cfg.Events.Log(events.DaemonPaused, zap.Duration("pause", gap))
	for _, r := range t.records {
		r.restartTimers(now)
	}
	t.standing = standing{missing: now, lastHeard: t.standing.lastHeard}
	t.self.Incarnation++
	return []Member{t.self}
}

func (t *Table) checkIsolation(now time.Time) bool {
	if t.standing.held || !t.standing.isolated(now) {
		return false
	}
	t.regainStanding("no peer reachable")
	return true
}

func (t *Table) regainStanding(reason string) {
	t.standing.held = true
	t.cfg.Events.Log(events.DaemonEligible, zap.String("reason", reason),
		zap.Uint64("incarnation", t.self.Incarnation))
}

// publish stores a new view and queues the callbacks. The lock must be held.
func (t *Table) publish(changed []Member, from Name) {
	members := make([]Member, 0, len(t.ring)+1)
	for _, r := range t.ring {
		members = append(members, r.Member)
	}
	members = slices.Insert(members, ringPosition(t.ring, t.self.Name), t.self)
	v := newView(t.self, members, t.standing.held)
	t.view.Store(v)
	t.pending = append(t.pending, notice{view: v, records: changed, from: from})
}

// deliver calls the callbacks in the order of the changes, without the lock.
// If another goroutine is already doing so, it takes over this change too.
func (t *Table) deliver() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.delivering {
		return
	}
	t.delivering = true
	defer func() { t.delivering = false }()
	for len(t.pending) > 0 {
		notices := t.pending
		t.pending = nil
		onChange, onRecords := t.onChange, t.onRecords
		t.mu.Unlock()
		for _, n := range notices {
			for _, f := range onRecords {
				f(n.records, n.from)
			}
		}
		for _, f := range onChange {
			f(notices[len(notices)-1].view)
		}
		t.mu.Lock()
	}
}
