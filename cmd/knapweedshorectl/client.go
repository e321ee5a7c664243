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

// callsPerSecond lets an operator's command read and swap a few times within
// its timeout; a daemon's budget would be too slow for it.
const callsPerSecond = 20

// openStore returns the store that the flag --store names.
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

// openEditor returns an editor with the author from the flags.
func openEditor(cmd *cli.Command) (*edit.Editor, error) {
	s, err := openStore(cmd)
	if err != nil {
		return nil, err
	}
	return edit.New(s, cmd.String("author"), metrics.NewRegistry()), nil
}

// readTables returns the newest tables.
func readTables(ctx context.Context, cmd *cli.Command) (*edit.State, error) {
	e, err := openEditor(cmd)
	if err != nil {
		return nil, err
	}
	return e.Read(ctx)
}

// dryRunFlag is the flag of every command that writes.
func dryRunFlag() cli.Flag {
	return &cli.BoolFlag{Name: "dry-run", Usage: "validate and show the difference, write nothing"}
}

// write carries out a change, or only plans it with --dry-run, and prints the
// result.
func write(ctx context.Context, cmd *cli.Command, change edit.Change) error {
	e, err := openEditor(cmd)
	if err != nil {
		return err
	}
	dryRun := cmd.Bool("dry-run")
	do := e.Write
	if dryRun {
		do = e.Plan
	}
	result, err := do(ctx, change)
	if err != nil {
		return err
	}
	return printResult(cmd, result, dryRun)
}
