// Package edit changes the tables in the platform store on behalf of operators. An
// Editor reads the head, applies a change to the tables, validates the result and
// replaces the head with a compare-and-swap.
package edit

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
)

// maxAttempts is the maximum number of compare-and-swaps for one value: one, and 5
// retries after conflicts with other editors or lost responses.
const maxAttempts = 6

// Editor reads and changes the tables in the store. The changes name one author.
type Editor struct {
	store   store.Store
	author  string
	metrics *metrics.Registry
}

// New returns an Editor. It counts retries of the head swap in m.
func New(s store.Store, author string, m *metrics.Registry) *Editor {
	return &Editor{store: s, author: author, metrics: m}
}

// Change returns the operations that change the current tables.
type Change func(current *tables.Snapshot) ([]tables.Operation, error)

// Result describes the effect of a change.
type Result struct {
	// Version is the version that the change created, or the current version if
	// nothing was written.
	Version tables.Version `json:"version"`
	// WriteID is empty if nothing was written.
	WriteID tables.WriteID `json:"write_id,omitempty"`
	// Operations are the operations that have an effect.
	Operations []tables.Operation `json:"-"`
	// Diff describes the operations, with one line for each entry.
	Diff string `json:"diff"`
}

// Plan validates a change and returns its effect without writing it.
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

// Write writes a change to the store. Its errors include:
//   - *tables.InvalidError: the changed tables would violate a rule.
//   - *ConflictError: another editor changed the same entry in the meantime.
//   - ErrBusy: other editors changed the tables during every attempt.
//   - *OutcomeUnknownError: the change may or may not have been written.
//
// After any error except *OutcomeUnknownError the tables are unchanged.
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
	version, err := w.swapWithRetry(ctx, state)
	if err != nil {
		return Result{}, err
	}
	return w.result(version), nil
}

// write is a change that is being written to the store.
type write struct {
	*Editor
	id         tables.WriteID
	operations []tables.Operation
	original   *tables.Snapshot // tables for which the operations were computed
	diff       string
	// pending is set while a swap whose response was lost may have taken effect or
	// may still do so.
	pending bool
}

// plan computes the operations of a change, omits those without effect, and
// validates the rest.
func (e *Editor) plan(state *State, change Change) (*write, error) {
	ops, err := change(state.Snapshot)
	if err != nil {
		return nil, err
	}
	w := &write{Editor: e, id: tables.NewWriteID(), original: state.Snapshot}
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

// result returns the Result of a write that led to version v.
func (w *write) result(v tables.Version) Result {
	r := Result{Version: v, Operations: w.operations, Diff: w.diff}
	if len(w.operations) > 0 {
		r.WriteID = w.id
	}
	return r
}

// delta returns the change as the delta after state. Its time is not before that
// of the last delta: if the operator's clock is behind, reservations would
// otherwise expire too early.
func (w *write) delta(state *State) tables.Delta {
	now := time.Now()
	if n := len(state.Head.Deltas); n > 0 && state.Head.Deltas[n-1].Time.After(now) {
		now = state.Head.Deltas[n-1].Time
	}
	return tables.Delta{Version: state.Snapshot.Version() + 1, WriteID: w.id, Previous: state.Snapshot.WriteID(),
		Author: w.author, Time: now, Operations: w.operations}
}

// swapWithRetry swaps the head and returns the new version. After a conflict with
// other changes it tries again on top of them.
func (w *write) swapWithRetry(ctx context.Context, state *State) (tables.Version, error) {
	for attempt := 1; ; attempt++ {
		version, err := w.swap(ctx, state)
		if err == nil {
			return version, nil
		}
		unknown := errors.Is(err, store.ErrUnknownOutcome)
		w.pending = w.pending || unknown
		if !unknown && !errors.Is(err, store.ErrConflict) {
			return 0, w.finalError(err)
		}
		next, readErr := w.Read(ctx)
		if readErr != nil {
			return 0, w.finalError(readErr)
		}
		if version, ok := next.Head.VersionOfWrite(w.id); ok {
			return version, nil
		}
		if next.revision != state.revision {
			// Earlier swaps expected an older revision and can no longer take
			// effect.
			w.pending = false
			if err := w.checkUnchanged(next.Snapshot); err != nil {
				return 0, err
			}
		}
		if attempt == maxAttempts {
			return 0, w.finalError(ErrBusy)
		}
		w.metrics.Retried(metrics.StoreConflict)
		state = next
	}
}

// swap tries once to write the change on top of state, and returns the new version.
func (w *write) swap(ctx context.Context, state *State) (tables.Version, error) {
	delta := w.delta(state)
	if _, err := state.Snapshot.Apply(delta); err != nil {
		return 0, err
	}
	head, err := state.Head.Append(delta)
	if err != nil {
		return 0, err
	}
	if version, needed := head.CompactionBase(); needed {
		base, err := state.Head.Replay(state.base, version)
		if err != nil {
			return 0, err
		}
		if err := w.writeBase(ctx, base); err != nil {
			return 0, errors.Wrapf(err, "write base %d", version)
		}
		if head, err = head.Rebase(version); err != nil {
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

// finalError returns the error for a write that is not retried. It is an
// *OutcomeUnknownError if an earlier swap may have taken effect.
func (w *write) finalError(err error) error {
	if w.pending {
		return &OutcomeUnknownError{WriteID: w.id, Cause: err}
	}
	return err
}
