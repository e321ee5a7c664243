// Package usage holds what both binaries do about command lines that make no
// sense.
package usage

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

// Error is a command line that makes no sense.
type Error struct{ text string }

// Error returns what is wrong with the command line.
func (e *Error) Error() string { return e.text }

// Errorf returns an *Error.
func Errorf(format string, args ...any) error {
	return &Error{text: fmt.Sprintf(format, args...)}
}

// MissingCommand is the action of a command that only groups others.
func MissingCommand(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return Errorf("unknown command %q; see %s --help", cmd.Args().First(), cmd.FullName())
	}
	_ = cli.ShowSubcommandHelp(cmd) // help that cannot be written changes nothing
	return Errorf("a command is required")
}

// ReportErrors makes the errors of the flag parser usage errors, for a command
// and all below it; the library does not inherit the handler.
func ReportErrors(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		return Errorf("%v; see %s --help", err, cmd.FullName())
	}
	for _, sub := range cmd.Commands {
		ReportErrors(sub)
	}
}
