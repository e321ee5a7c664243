package edit

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/tables"
)

// ErrBusy is returned when other editors changed the tables during every attempt.
// Nothing was written.
var ErrBusy = errors.New("other editors changed the tables during every attempt")

// ConflictError reports that another editor changed an entry after it was read.
// Nothing was written.
type ConflictError struct {
	Changes []EntryChange
}

// EntryChange describes the change of an entry by another editor. Before and After
// are the settings of the entry, or "" if it does not exist.
type EntryChange struct {
	Entry         tables.Entry
	Before, After string
}

// Error implements error.
func (e *ConflictError) Error() string {
	lines := make([]string, len(e.Changes))
	for i, c := range e.Changes {
		lines[i] = fmt.Sprintf("%s was %s and is now %s", c.Entry, formatSettings(c.Before), formatSettings(c.After))
	}
	return "another editor changed the same entry: " + strings.Join(lines, "; ")
}

// formatSettings returns the settings of an entry in parentheses on one line, or
// "(missing)" if there are none.
func formatSettings(text string) string {
	if text == "" {
		return "(missing)"
	}
	return "(" + strings.ReplaceAll(text, "\n", ", ") + ")"
}

// OutcomeUnknownError reports that a change may have been written, but the store
// was unavailable for too long to verify it.
type OutcomeUnknownError struct {
	WriteID tables.WriteID
	Cause   error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: check the history for write %q later: %v", e.WriteID, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// checkUnchanged returns a *ConflictError if an entry that w changes has been
// modified since its operations were computed.
func (w *write) checkUnchanged(current *tables.Snapshot) error {
	var conflict ConflictError
	for _, op := range w.operations {
		e := op.Entry()
		if before, after := w.original.Describe(e), current.Describe(e); before != after {
			conflict.Changes = append(conflict.Changes, EntryChange{Entry: e, Before: before, After: after})
		}
	}
	if len(conflict.Changes) > 0 {
		return &conflict
	}
	return nil
}

// oversizeError returns the error for a write whose head would have size bytes.
func oversizeError(id tables.WriteID, size int) error {
	return &tables.InvalidError{Problems: []*tables.ValidationError{{
		Entry: tables.Entry{Kind: tables.DeltaEntry, Name: string(id)},
		Rule:  tables.RuleLimit,
		Detail: fmt.Sprintf("the head with this change has %d bytes, want at most %d: split it into smaller changes",
			size, tables.MaxValueSize),
	}}}
}
