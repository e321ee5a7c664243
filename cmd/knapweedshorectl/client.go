package main

import (
	"context"
	"strings"

	"github.com/urfave/cli/v3"

	"knapweedshore.example/cmd/usage"
	"knapweedshore.example/internal/edit"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/store"
)

// callsPerSecond limits the calls to the store. It lets a command read and swap the
// tables several times within its timeout, which a daemon's budget would not.
const callsPerSecond = 20

// openStore returns a client of the store given by the flag --store.
func openStore(cmd *cli.Command) (store.Store, error) {
	address := cmd.String("store")
	if address == "" {
		return nil, usage.Errorf("--store or KNAPWEEDSHORE_STORE is required")
	}
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	client, err := store.NewHTTP(address)
	if err != nil {
		return nil, usage.Errorf("--store: %v", err)
	}
	return store.NewBudget(client, store.BudgetOptions{CallsPerSecond: callsPerSecond}), nil
}

// openEditor returns an editor for the store and the author given by the flags.
func openEditor(cmd *cli.Command) (*edit.Editor, error) {
	s, err := openStore(cmd)
	if err != nil {
		return nil, err
	}
	return edit.New(s, cmd.String("author"), metrics.NewRegistry()), nil
}

// readTables reads the newest tables from the store.
func readTables(ctx context.Context, cmd *cli.Command) (*edit.State, error) {
	e, err := openEditor(cmd)
	if err != nil {
		return nil, err
	}
	return e.Read(ctx)
}

// dryRunFlag returns the flag --dry-run of the commands that write.
func dryRunFlag() cli.Flag {
	return &cli.BoolFlag{Name: "dry-run", Usage: "validate and show the difference, write nothing"}
}

// write applies a change, or only plans it with --dry-run, and prints the result.
func write(ctx context.Context, cmd *cli.Command, change edit.Change) error {
	e, err := openEditor(cmd)
	if err != nil {
		return err
	}
	dryRun := cmd.Bool("dry-run")
	execute := e.Write
	if dryRun {
		execute = e.Plan
	}
	result, err := execute(ctx, change)
	if err != nil {
		return err
	}
	return printResult(cmd, result, dryRun)
}
