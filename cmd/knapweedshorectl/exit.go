package main

import (
	"context"

	"github.com/go-faster/errors"

	"knapweedshore.example/cmd/usage"
	"knapweedshore.example/internal/edit"
	"knapweedshore.example/internal/registry"
	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
)

// Exit codes, documented in the help of the root command.
const (
	exitOK             = 0
	exitFailure        = 1
	exitUsage          = 2
	exitInvalidTables  = 3
	exitConflict       = 4
	exitUnavailable    = 5
	exitOutcomeUnknown = 6
)

// exitCode returns the exit code for an error. An OutcomeUnknownError is checked
// before the errors that it may wrap, such as that of an unavailable store.
func exitCode(err error) int {
	switch {
	case err == nil:
		return exitOK
	case isType[*usage.Error](err):
		return exitUsage
	case isType[*edit.OutcomeUnknownError](err):
		return exitOutcomeUnknown
	case isType[*edit.ConflictError](err), errors.Is(err, edit.ErrBusy):
		return exitConflict
	case isType[*tables.InvalidError](err), isType[*tables.INIError](err), errors.Is(err, errFindings):
		return exitInvalidTables
	case errors.Is(err, store.ErrUnavailable), errors.Is(err, store.ErrThrottled),
		errors.Is(err, registry.ErrUnavailable), errors.Is(err, registry.ErrThrottled),
		errors.Is(err, context.DeadlineExceeded):
		return exitUnavailable
	}
	return exitFailure
}

func isType[T error](err error) bool {
	_, ok := errors.Into[T](err)
	return ok
}

// notFound returns the error of a command that names an entry which does not
// exist.
func notFound(e tables.Entry) error {
	return &tables.InvalidError{Problems: []*tables.ValidationError{
		{Entry: e, Rule: tables.RuleEntryMissing, Detail: "does not exist"},
	}}
}
