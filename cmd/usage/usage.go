// Package usage reports invalid command lines of both binaries.
package usage

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

// Error is the error for an invalid command line.
type Error struct{ text string }

// Error describes what is wrong with the command line.
func (e *Error) Error() string { return e.text }

// Errorf returns an *Error with a formatted text.
func Errorf(format string, args ...any) error {
	return &Error{text: fmt.Sprintf(format, args...)}
}

// MissingCommand is the action of a command that only groups subcommands. It returns
// an *Error, and prints the help unless an unknown subcommand was given.
func MissingCommand(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return Errorf("unknown command %q; see %s --help", cmd.Args().First(), cmd.FullName())
	}
	_ = cli.ShowSubcommandHelp(cmd) // the error below is returned in any case
	return Errorf("a command is required")
}

// ReportErrors turns the errors of the flag parser into an *Error, for a command and
// all its subcommands. It sets the handler on each of them because subcommands do
// not inherit it.
func ReportErrors(cmd *cli.Command) {
	cmd.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
		return Errorf("%v; see %s --help", err, cmd.FullName())
	}
	for _, sub := range cmd.Commands {
		ReportErrors(sub)
	}
}
