package edit

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/tables"
)

// ErrBusy means that other editors were faster at every attempt. Nothing was
// written.
var ErrBusy = errors.New("other editors changed the tables at every attempt")

// ConflictError means that another editor changed an entry after it was read.
// Nothing was written.
type ConflictError struct {
	Changes []EntryChange
}

// EntryChange is what another editor did to one entry. A missing entry has an
// empty text.
type EntryChange struct {
	Entry         tables.Entry
	Before, After string
}

// Error implements error.
func (e *ConflictError) Error() string {
	lines := make([]string, len(e.Changes))
	for i, c := range e.Changes {
		lines[i] = fmt.Sprintf("%s was %s and is now %s", c.Entry, orMissing(c.Before), orMissing(c.After))
	}
	return "another editor changed the same entry: " + strings.Join(lines, "; ")
}

func orMissing(text string) string {
	if text == "" {
		return "(missing)"
	}
	return "(" + strings.ReplaceAll(text, "\n", ", ") + ")"
}

// OutcomeUnknownError means that a change may have been made, and the store
// stayed away too long to find out.
type OutcomeUnknownError struct {
	WriteID tables.WriteID
	Cause   error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: look for write %q in the history later: %v", e.WriteID, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// checkUnchanged returns a *ConflictError if an entry that w changes is not as
// it was when the change was computed.
func (w *write) checkUnchanged(now *tables.Snapshot) error {
	var conflict ConflictError
	for _, op := range w.operations {
		e := op.Entry()
		if before, after := w.seen.Describe(e), now.Describe(e); before != after {
			conflict.Changes = append(conflict.Changes, EntryChange{Entry: e, Before: before, After: after})
		}
	}
	if len(conflict.Changes) > 0 {
		return &conflict
	}
	return nil
}

func oversizeError(id tables.WriteID, size int) error {
	return &tables.InvalidError{Problems: []*tables.ValidationError{{
		Entry: tables.Entry{Kind: tables.DeltaEntry, Name: string(id)},
		Rule:  tables.RuleLimit,
		Detail: fmt.Sprintf("the head with this change has %d bytes, want at most %d: split the change",
			size, tables.MaxValueSize),
	}}}
}
