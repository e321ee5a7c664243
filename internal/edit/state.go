package edit

import (
	"context"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
)

// State is the content of the store at one moment.
type State struct {
	Head     *tables.Head
	Snapshot *tables.Snapshot

	base     *tables.Snapshot
	revision uint64 // of the head; 0 if there is none yet
}

// Read returns the newest tables.
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
		return nil, errors.Errorf("base %d does not belong to the head", head.Base)
	}
	return &State{Head: head, Snapshot: snapshot, base: base, revision: revision}, nil
}

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
		return nil, errors.Errorf("it holds version %d", base.Version())
	}
	return base, nil
}

// writeBase writes a whole snapshot that no head names yet. Another editor may
// have written the same one. A different value is left from before the store
// was restored from a backup.
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

// Head returns the newest head without the whole tables. It is enough for the
// history and to find a write by its id.
func (e *Editor) Head(ctx context.Context) (*tables.Head, error) {
	head, _, err := e.readHead(ctx)
	return head, err
}
