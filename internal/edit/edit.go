// Package edit carries out operators' changes of the tables: it reads the
// head, applies the change to the whole tables, validates them and swaps the
// head.
package edit

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
)

// maxAttempts is how often a change is tried: once, and five times more after
// other editors were faster or an answer was lost.
const maxAttempts = 6

// Editor changes the tables in the name of one author.
type Editor struct {
	store   store.Store
	author  string
	metrics *metrics.Registry
}

// New returns an Editor. The metrics count repeated swaps.
func New(s store.Store, author string, m *metrics.Registry) *Editor {
	return &Editor{store: s, author: author, metrics: m}
}

// Change computes the operations from the tables as they are.
type Change func(current *tables.Snapshot) ([]tables.Operation, error)

// Result says what a change did.
type Result struct {
	// Version is the version that the change made, or the present one if it
	// changed nothing.
	Version tables.Version `json:"version"`
	// WriteID is empty if nothing was written.
	WriteID tables.WriteID `json:"write_id,omitempty"`
	// Operations are the steps that had an effect.
	Operations []tables.Operation `json:"-"`
	// Diff describes them, one line for each entry.
	Diff string `json:"diff"`
}

// Plan returns what a change would do, and validates it.
func (e *Editor) Plan(ctx context.Context, change Change) (Result, error) {
	state, err := e.Read(ctx)
	if err != nil {
		return Result{}, err
	}
	w, err := e.plan(state, change)
	if err != nil {
		return Result{}, err
	}
	r := w.result(state.Snapshot.Version())
	r.WriteID = ""
	return r, nil
}

// Write carries out a change. It returns a *tables.InvalidError if the tables
// would break a rule, a *ConflictError if another editor changed the same
// entry meanwhile, ErrBusy if others were always faster, and an
// *OutcomeUnknownError if the change may have been made. After any other error
// nothing was written.
func (e *Editor) Write(ctx context.Context, change Change) (Result, error) {
	state, err := e.Read(ctx)
	if err != nil {
		return Result{}, err
	}
	w, err := e.plan(state, change)
	if err != nil {
		return Result{}, err
	}
	if len(w.operations) == 0 {
		return w.result(state.Snapshot.Version()), nil
	}
	version, err := w.run(ctx, state)
	if err != nil {
		return Result{}, err
	}
	return w.result(version), nil
}

// write is one change on its way to the store.
type write struct {
	*Editor
	id         tables.WriteID
	operations []tables.Operation
	seen       *tables.Snapshot // the tables that the change was computed from
	diff       string
	// pending is set while an earlier swap may still take effect.
	pending bool
}

// plan computes the operations, leaves out those without effect, and checks
// that they are valid.
func (e *Editor) plan(state *State, change Change) (*write, error) {
	ops, err := change(state.Snapshot)
	if err != nil {
		return nil, err
	}
	w := &write{Editor: e, id: tables.NewWriteID(), seen: state.Snapshot}
	for _, op := range ops {
		if text := tables.DescribeChange(state.Snapshot, []tables.Operation{op}); text != "" {
			w.operations = append(w.operations, op)
			w.diff += text
		}
	}
	if len(w.operations) == 0 {
		return w, nil
	}
	_, err = state.Snapshot.Apply(w.delta(state))
	return w, err
}

func (w *write) result(v tables.Version) Result {
	r := Result{Version: v, Operations: w.operations, Diff: w.diff}
	if len(w.operations) > 0 {
		r.WriteID = w.id
	}
	return r
}

// delta returns the change on top of state. Its time is not before that of the
// last change, because the reservations of an operator whose clock is behind
// would end too early.
func (w *write) delta(state *State) tables.Delta {
	now := time.Now()
	if n := len(state.Head.Deltas); n > 0 && state.Head.Deltas[n-1].Time.After(now) {
		now = state.Head.Deltas[n-1].Time
	}
	return tables.Delta{Version: state.Snapshot.Version() + 1, WriteID: w.id, Previous: state.Snapshot.WriteID(),
		Author: w.author, Time: now, Operations: w.operations}
}

// run swaps the head, rebasing on what others wrote meanwhile.
func (w *write) run(ctx context.Context, state *State) (tables.Version, error) {
	for attempt := 1; ; attempt++ {
		version, err := w.swap(ctx, state)
		if err == nil {
			return version, nil
		}
		unknown := errors.Is(err, store.ErrUnknownOutcome)
		w.pending = w.pending || unknown
		if !unknown && !errors.Is(err, store.ErrConflict) {
			return 0, w.failed(err)
		}
		next, readErr := w.Read(ctx)
		if readErr != nil {
			return 0, w.failed(readErr)
		}
		if version, ok := next.Head.VersionOfWrite(w.id); ok {
			return version, nil
		}
		if next.revision != state.revision {
			// A swap of the old revision can no longer take effect.
			w.pending = false
			if err := w.checkUnchanged(next.Snapshot); err != nil {
				return 0, err
			}
		}
		if attempt == maxAttempts {
			return 0, w.failed(ErrBusy)
		}
		w.metrics.Retried(metrics.StoreConflict)
		state = next
	}
}

// swap tries to write the change on top of state.
func (w *write) swap(ctx context.Context, state *State) (tables.Version, error) {
	delta := w.delta(state)
	if _, err := state.Snapshot.Apply(delta); err != nil {
		return 0, err
	}
	head, err := state.Head.Append(delta)
	if err != nil {
		return 0, err
	}
	if to, needed := head.CompactionBase(); needed {
		base, err := state.Head.Replay(state.base, to)
		if err != nil {
			return 0, err
		}
		if err := w.writeBase(ctx, base); err != nil {
			return 0, errors.Wrapf(err, "write base %d", to)
		}
		if head, err = head.Rebase(to); err != nil {
			return 0, err
		}
	}
	data := head.Encode()
	if len(data) > tables.MaxValueSize {
		return 0, oversizeError(w.id, len(data))
	}
	if _, err := w.store.Swap(ctx, tables.HeadKey, data, state.revision); err != nil {
		return 0, errors.Wrap(err, "swap head")
	}
	return head.Version, nil
}

// failed returns the error of a change that was given up.
func (w *write) failed(err error) error {
	if w.pending {
		return &OutcomeUnknownError{WriteID: w.id, Cause: err}
	}
	return err
}
