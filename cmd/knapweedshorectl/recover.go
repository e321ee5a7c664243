package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"knapweedshore.example/internal/tables"
)

func recoverCommand() *cli.Command {
	return &cli.Command{
		Name:  "recover",
		Usage: "make the daemons accept the tables of a restored store",
		Description: `A store that was restored from a backup has an older version of the tables than
the daemons, which refuse it and keep their own. This command gives the tables
in the store a higher version. Look up the highest version of the daemons with
"status", run this command, and then apply the intended tables.

Example:
  knapweedshorectl recover --above 1234`,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "above", Usage: "highest `VERSION` that any daemon has", Required: true},
		},
		Action: withTimeout(recoverTables),
	}
}

func recoverTables(ctx context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd, 0, 0); err != nil {
		return err
	}
	e, err := openEditor(cmd)
	if err != nil {
		return err
	}
	result, err := e.Renumber(ctx, tables.Version(cmd.Uint64("above")))
	if err != nil {
		return err
	}
	result.Diff = "no entry changed\n"
	return printResult(cmd, result, false)
}
