package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"knapweedshore.example/cmd/usage"
	"knapweedshore.example/internal/tables"
)

func poolCommand() *cli.Command {
	return &cli.Command{
		Name:   "pool",
		Usage:  "edit which backend servers serve the routes",
		Action: usage.MissingCommand,
		Commands: []*cli.Command{
			{
				Name:   "list",
				Usage:  "list all pools",
				Action: withTimeout(listPools),
			},
			{
				Name:          "show",
				Usage:         "show the servers of one pool",
				ArgsUsage:     "NAME",
				Action:        withTimeout(showPool),
				ShellComplete: completePools,
			},
			setPoolCommand(),
			{
				Name:      "delete",
				Usage:     "delete a pool, or some of its servers",
				ArgsUsage: "NAME [SERVER...]",
				Description: `Endpoints stay reserved for 3 hours: no other pool can use them before then.

Examples:
  knapweedshorectl pool delete mapas-old
  knapweedshorectl pool delete mapas m1 m2`,
				Flags:         []cli.Flag{dryRunFlag()},
				Action:        withTimeout(deletePool),
				ShellComplete: completePools,
			},
			drainCommand("drain", "give servers no new flows; established flows stay", tables.Draining),
			drainCommand("undrain", "give servers new flows again", tables.Active),
		},
	}
}

func setPoolCommand() *cli.Command {
	return &cli.Command{
		Name:      "set",
		Usage:     "create a pool, or add or replace some of its servers",
		ArgsUsage: "NAME",
		Description: `Other servers of the pool stay as they are. Server settings that are not given get
their defaults: weight=100 slots=2 connections=2000 state=active.

Examples:
  knapweedshorectl pool set mapas --server "m1=10.2.0.1:80 zone=cartago-sur"
  knapweedshorectl pool set mapas --server "m1=10.2.0.1:80 zone=cartago-sur weight=50" \
      --server "m2=10.2.0.2:80 zone=cartago-norte"`,
		DisableSliceFlagSeparator: true,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "server", Usage: "`NAME=ADDR:PORT` zone=Z weight=N slots=N connections=N state=active|draining"},
			dryRunFlag(),
		},
		Action:        withTimeout(setPool),
		ShellComplete: completePools,
	}
}

// drainCommand returns a command that sets the state of servers.
func drainCommand(name, usage string, state tables.ServerState) *cli.Command {
	return &cli.Command{
		Name:        name,
		Usage:       usage,
		ArgsUsage:   "POOL SERVER...",
		Description: fmt.Sprintf("Example:\n  knapweedshorectl pool %s mapas m1", name),
		Flags:       []cli.Flag{dryRunFlag()},
		Action: withTimeout(func(ctx context.Context, cmd *cli.Command) error {
			return setServerState(ctx, cmd, state)
		}),
		ShellComplete: completePools,
	}
}

func listPools(ctx context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd, 0, 0); err != nil {
		return err
	}
	state, err := readTables(ctx, cmd)
	if err != nil {
		return err
	}
	t := table{header: []string{"NAME", "SERVERS", "DRAINING", "ROUTES"}}
	for _, p := range state.Snapshot.Pools() {
		draining := 0
		for _, srv := range p.Servers {
			if srv.State == tables.Draining {
				draining++
			}
		}
		t.add(p.Name, len(p.Servers), draining, len(state.Snapshot.RoutesByPool(p.Name)))
	}
	return printOutput(cmd, nonNil(state.Snapshot.Pools()), t)
}

func showPool(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1, 1)
	if err != nil {
		return err
	}
	state, err := readTables(ctx, cmd)
	if err != nil {
		return err
	}
	pool, ok := state.Snapshot.Pool(args[0])
	if !ok {
		return notFound(tables.Entry{Kind: tables.PoolEntry, Name: args[0]})
	}
	t := table{header: []string{"SERVER", "ENDPOINT", "ZONE", "WEIGHT", "SLOTS", "CONNECTIONS", "STATE", "ID"}}
	for _, s := range pool.Servers {
		t.add(s.Name, s.Endpoint, s.Zone, s.Weight, s.Slots, s.Connections, s.State, s.ID)
	}
	return printOutput(cmd, pool, t)
}

func setPool(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1, 1)
	if err != nil {
		return err
	}
	servers, err := parseServers(cmd.StringSlice("server"))
	if err != nil {
		return err
	}
	return write(ctx, cmd, func(current *tables.Snapshot) ([]tables.Operation, error) {
		if _, ok := current.Pool(args[0]); !ok {
			return []tables.Operation{tables.PutPool{Name: args[0], Servers: servers}}, nil
		}
		var ops []tables.Operation
		for _, srv := range servers {
			ops = append(ops, tables.PutServer{Pool: args[0], Server: srv})
		}
		return ops, nil
	})
}

func parseServers(specs []string) ([]tables.Server, error) {
	var servers []tables.Server
	for _, spec := range specs {
		name, settings, found := strings.Cut(spec, "=")
		if !found || name == "" {
			return nil, usage.Errorf("--server %q: want NAME=ADDR:PORT zone=ZONE", spec)
		}
		srv, value, expected := tables.ParseServer(name, settings)
		if expected != "" {
			return nil, usage.Errorf("--server %q: %q: want %s", name, value, expected)
		}
		servers = append(servers, srv)
	}
	return servers, nil
}

func deletePool(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1, -1)
	if err != nil {
		return err
	}
	return write(ctx, cmd, func(*tables.Snapshot) ([]tables.Operation, error) {
		if len(args) == 1 {
			return []tables.Operation{tables.DeletePool{Name: args[0]}}, nil
		}
		var ops []tables.Operation
		for _, name := range args[1:] {
			ops = append(ops, tables.DeleteServer{Pool: args[0], Name: name})
		}
		return ops, nil
	})
}

// setServerState sets the state of the servers that the arguments name.
func setServerState(ctx context.Context, cmd *cli.Command, state tables.ServerState) error {
	args, err := arguments(cmd, 2, -1)
	if err != nil {
		return err
	}
	return write(ctx, cmd, func(current *tables.Snapshot) ([]tables.Operation, error) {
		var ops []tables.Operation
		for _, name := range args[1:] {
			srv, ok := current.Server(args[0], name)
			if !ok {
				return nil, notFound(tables.Entry{Kind: tables.ServerEntry, Pool: args[0], Name: name})
			}
			srv.State = state
			ops = append(ops, tables.PutServer{Pool: args[0], Server: srv})
		}
		return ops, nil
	})
}
