package main

import (
	"context"
	"fmt"
	"io"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"knapweedshore.example/cmd/usage"
)

const rootDescription = `A layer-4 load balancer: every entry VM of a region runs this daemon.

Examples:
  knapweedshored check-config --config /etc/knapweedshore/vm.ini
  knapweedshored run --config /etc/knapweedshore/vm.ini
  knapweedshored entry --config /etc/knapweedshore/entry.ini
  knapweedshored dev
  knapweedshored dev --site quesada --seed 7 --output json
  knapweedshored bench --site quesada --setting steady
  knapweedshored soak --seeds 10

Exit codes:
  0  done
  1  failure, or dev or soak found a broken promise
  2  wrong usage`

// Exit codes, documented in the help of the root command.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// run executes one command line and returns its exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := newRoot(out, errOut)
	err := root.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(errOut, "%s: %v\n", root.Name, err)
	if _, ok := errors.Into[*usage.Error](err); ok {
		return exitUsage
	}
	return exitFailure
}

func newRoot(out, errOut io.Writer) *cli.Command {
	root := &cli.Command{
		Name:                  "knapweedshored",
		Usage:                 "balance flows over backend servers",
		Description:           rootDescription,
		EnableShellCompletion: true,
		Suggest:               true,
		Writer:                out,
		ErrWriter:             errOut,
		Commands:              []*cli.Command{runCommand(), entryCommand(), checkCommand(), devCommand(), benchCommand(), soakCommand()},
		Action:                usage.MissingCommand,
		// run prints the error and chooses the exit code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	usage.ReportErrors(root)
	return root
}

// withoutArguments rejects positional arguments, which no command takes.
func withoutArguments(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		if cmd.Args().Present() {
			return usage.Errorf("unexpected argument %q; see %s --help", cmd.Args().First(), cmd.FullName())
		}
		return action(ctx, cmd)
	}
}

func configFlag() cli.Flag {
	return &cli.StringFlag{Name: "config", Aliases: []string{"c"}, Required: true, Usage: "settings `FILE` in INI format", TakesFile: true}
}
