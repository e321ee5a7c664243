package edit

import (
	"context"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
)

// State is the content of the tables in the store at one revision of the head.
type State struct {
	Head     *tables.Head
	Snapshot *tables.Snapshot

	base     *tables.Snapshot // of version Head.Base
	revision uint64           // store revision of the head; 0 if there is none yet
}

// Read reads the newest tables from the store.
func (e *Editor) Read(ctx context.Context) (*State, error) {
	head, revision, err := e.readHead(ctx)
	if err != nil {
		return nil, err
	}
	base := tables.Empty()
	if head.Base > 0 {
		if base, err = e.readBase(ctx, head.Base); err != nil {
			return nil, errors.Wrapf(err, "read base %d", head.Base)
		}
	}
	snapshot, err := head.Replay(base, head.Version)
	if err != nil {
		return nil, errors.Wrap(err, "replay head")
	}
	if !head.SameHistory(snapshot) {
		return nil, errors.Errorf("base %d belongs to a different history than the head", head.Base)
	}
	return &State{Head: head, Snapshot: snapshot, base: base, revision: revision}, nil
}

// readHead returns the head and its store revision. If there is no head yet, it
// returns an empty one and revision 0.
func (e *Editor) readHead(ctx context.Context) (*tables.Head, uint64, error) {
	value, err := e.store.Get(ctx, tables.HeadKey)
	if errors.Is(err, store.ErrNotFound) {
		return &tables.Head{}, 0, nil
	}
	if err != nil {
		return nil, 0, errors.Wrap(err, "read head")
	}
	head, err := tables.DecodeHead(value.Data)
	if err != nil {
		return nil, 0, err
	}
	return head, value.Revision, nil
}

// readBase returns the full snapshot of a version.
func (e *Editor) readBase(ctx context.Context, v tables.Version) (*tables.Snapshot, error) {
	value, err := e.store.Get(ctx, tables.BaseKey(v))
	if err != nil {
		return nil, err
	}
	base, err := tables.DecodeSnapshot(value.Data)
	if err != nil {
		return nil, err
	}
	if base.Version() != v {
		return nil, errors.Errorf("it contains version %d", base.Version())
	}
	return base, nil
}

// writeBase writes a full snapshot to which no head refers yet. It accepts an equal
// value that another editor has written, and overwrites a different one, which is
// left over from before the store was restored from a backup.
func (e *Editor) writeBase(ctx context.Context, snapshot *tables.Snapshot) error {
	key, data, revision := tables.BaseKey(snapshot.Version()), snapshot.Encode(), uint64(0)
	var err error
	for range maxAttempts {
		_, err = e.store.Swap(ctx, key, data, revision)
		if err == nil {
			return nil
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknownOutcome) {
			return err
		}
		value, readErr := e.store.Get(ctx, key)
		switch {
		case readErr == nil && string(value.Data) == string(data):
			return nil
		case readErr == nil:
			revision = value.Revision
		case errors.Is(readErr, store.ErrNotFound):
			revision = 0
		default:
			return readErr
		}
	}
	return &store.CallError{Kind: store.ErrUnavailable, Cause: errors.Errorf("gave up after %d attempts: %v", maxAttempts, err)}
}

// Head reads the newest head without the base snapshot. It is sufficient to list
// the latest changes and to find a write by its id.
func (e *Editor) Head(ctx context.Context) (*tables.Head, error) {
	head, _, err := e.readHead(ctx)
	return head, err
}
