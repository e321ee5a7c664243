package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"knapweedshore.example/cmd/usage"
)

const defaultTimeout = 15 * time.Second

const rootDescription = `Operators edit two tables: routes say which traffic belongs to which service,
pools say which backend servers serve it. Every change creates one new version
of both tables. It is validated as a whole and applied completely or not at all.

Examples:
  knapweedshorectl --store 192.0.2.9:8500 route list
  knapweedshorectl pool set mapas --server "m1=10.2.0.1:80 zone=cartago-sur"
  knapweedshorectl route set mapas --address 192.0.2.2 --port 443 --pool mapas
  knapweedshorectl pool drain mapas m1
  knapweedshorectl apply --dry-run -f tables.ini
  knapweedshorectl status

Exit codes:
  0  done
  1  failure
  2  wrong usage
  3  the tables would be invalid, or "check" found errors; nothing was written
  4  another editor changed the same entry; nothing was written
  5  the store is unavailable; nothing was written
  6  the outcome is unknown; look for the write id with "history --write ID"`

// run executes one command line and returns its exit code.
func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	root := newRoot(out, errOut)
	err := root.Run(ctx, args)
	if err != nil {
		fmt.Fprintf(errOut, "%s: %v\n", root.Name, err)
	}
	return exitCode(err)
}

func newRoot(out, errOut io.Writer) *cli.Command {
	root := &cli.Command{
		Name:                  "knapweedshorectl",
		Usage:                 "edit the load balancer's tables and show its state",
		Description:           rootDescription,
		EnableShellCompletion: true,
		Suggest:               true,
		Writer:                out,
		ErrWriter:             errOut,
		Flags:                 globalFlags(),
		Commands: []*cli.Command{
			routeCommand(), poolCommand(), applyCommand(), historyCommand(), statusCommand(), recoverCommand(), checkCommand(),
		},
		Action: usage.MissingCommand,
		// run prints the error and chooses the exit code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	usage.ReportErrors(root)
	return root
}

func globalFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "store", Usage: "`ADDR:PORT` or URL of the platform store", Sources: cli.EnvVars("KNAPWEEDSHORE_STORE")},
		&cli.StringFlag{Name: "author", Usage: "`NAME` of the author in the history", Value: os.Getenv("USER"), Sources: cli.EnvVars("KNAPWEEDSHORE_AUTHOR")},
		&cli.DurationFlag{Name: "timeout", Usage: "give up after `TIME`", Value: defaultTimeout},
		&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "`FORMAT` of the output: table or json", Value: outputTable, Validator: checkOutput},
	}
}

// arguments returns the positional arguments. It fails if there are fewer than
// minArgs or more than maxArgs; a negative maxArgs means no limit.
func arguments(cmd *cli.Command, minArgs, maxArgs int) ([]string, error) {
	args := cmd.Args().Slice()
	if len(args) < minArgs || (maxArgs >= 0 && len(args) > maxArgs) {
		return nil, usage.Errorf("want arguments %s; see %s --help", cmd.ArgsUsage, cmd.FullName())
	}
	return args, nil
}

// withTimeout limits the duration of a command's action to the flag --timeout.
func withTimeout(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		timeout := cmd.Duration("timeout")
		if timeout <= 0 {
			return usage.Errorf("--timeout is %s, want more than 0", timeout)
		}
		ctx, cancel := context.WithTimeoutCause(ctx, timeout, errors.Errorf("no result after %s", timeout))
		defer cancel()
		return action(ctx, cmd)
	}
}
