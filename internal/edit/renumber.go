package edit

import (
	"context"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
)

// Renumber gives the tables in the store the version above+1. It is used after the
// store was restored from a backup, so that daemons that have seen versions up to
// above accept the tables again.
func (e *Editor) Renumber(ctx context.Context, above tables.Version) (Result, error) {
	state, err := e.Read(ctx)
	if err != nil {
		return Result{}, err
	}
	id := tables.NewWriteID()
	snapshot, err := state.Snapshot.Renumber(above+1, id)
	if err != nil {
		return Result{}, err
	}
	if err := e.writeBase(ctx, snapshot); err != nil {
		return Result{}, errors.Wrapf(err, "write base %d", snapshot.Version())
	}
	head := &tables.Head{Version: snapshot.Version(), Base: snapshot.Version(), WriteIDs: []tables.WriteID{id}}
	_, err = e.store.Swap(ctx, tables.HeadKey, head.Encode(), state.revision)
	if err != nil && !e.headContains(ctx, id) {
		switch {
		case errors.Is(err, store.ErrUnknownOutcome):
			return Result{}, &OutcomeUnknownError{WriteID: id, Cause: err}
		case errors.Is(err, store.ErrConflict):
			return Result{}, ErrBusy
		}
		return Result{}, errors.Wrap(err, "swap head")
	}
	return Result{Version: head.Version, WriteID: id}, nil
}

// headContains reports whether the head contains a write. It returns false if the
// head cannot be read.
func (e *Editor) headContains(ctx context.Context, id tables.WriteID) bool {
	head, err := e.Head(ctx)
	if err != nil {
		return false
	}
	_, ok := head.VersionOfWrite(id)
	return ok
}
