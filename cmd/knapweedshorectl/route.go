package main

import (
	"context"
	"fmt"
	"net/netip"

	"github.com/urfave/cli/v3"

	"knapweedshore.example/cmd/usage"
	"knapweedshore.example/internal/tables"
)

func routeCommand() *cli.Command {
	return &cli.Command{
		Name:   "route",
		Usage:  "edit which traffic belongs to which service",
		Action: usage.MissingCommand,
		Commands: []*cli.Command{
			{
				Name:   "list",
				Usage:  "list all routes",
				Action: withTimeout(listRoutes),
			},
			{
				Name:          "show",
				Usage:         "show one route in INI format",
				ArgsUsage:     "NAME",
				Action:        withTimeout(showRoute),
				ShellComplete: completeRoutes,
			},
			{
				Name:      "set",
				Usage:     "create or change a route",
				ArgsUsage: "NAME",
				Description: `Settings of an existing route that are not given stay as they are.

Examples:
  knapweedshorectl route set mapas --address 192.0.2.2 --port 443 --pool mapas
  knapweedshorectl route set mapas --pool mapas-2`,
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "address", Usage: "IP `ADDRESS` that callers use"},
					&cli.Uint16Flag{Name: "port", Usage: "`PORT` that callers use"},
					&cli.StringFlag{Name: "protocol", Usage: "tcp or udp; tcp for a new route"},
					&cli.StringFlag{Name: "pool", Usage: "`NAME` of the pool that serves the route"},
					dryRunFlag(),
				},
				Action:        withTimeout(setRoute),
				ShellComplete: completeRoutes,
			},
			{
				Name:      "delete",
				Usage:     "delete routes",
				ArgsUsage: "NAME...",
				Description: `The address stays reserved for 3 hours: no other route can use it before then.

Example:
  knapweedshorectl route delete mapas`,
				Flags:         []cli.Flag{dryRunFlag()},
				Action:        withTimeout(deleteRoutes),
				ShellComplete: completeRoutes,
			},
		},
	}
}

func listRoutes(ctx context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd, 0, 0); err != nil {
		return err
	}
	state, err := readTables(ctx, cmd)
	if err != nil {
		return err
	}
	t := table{header: []string{"NAME", "ADDRESS", "POOL", "ID"}}
	for _, r := range state.Snapshot.Routes() {
		t.add(r.Name, r.Address, r.Pool, r.ID)
	}
	return printOutput(cmd, nonNil(state.Snapshot.Routes()), t)
}

func showRoute(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1, 1)
	if err != nil {
		return err
	}
	state, err := readTables(ctx, cmd)
	if err != nil {
		return err
	}
	route, ok := state.Snapshot.Route(args[0])
	if !ok {
		return notFound(tables.Entry{Kind: tables.RouteEntry, Name: args[0]})
	}
	if cmd.String("output") == outputJSON {
		return printJSON(cmd, route)
	}
	_, err = fmt.Fprint(cmd.Root().Writer, tables.FormatINI(tables.Desired{Routes: []tables.Route{*route}}))
	return err
}

func setRoute(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1, 1)
	if err != nil {
		return err
	}
	if _, err := updatedRoute(cmd, tables.Route{}); err != nil {
		return err // reject invalid flags before any call
	}
	return write(ctx, cmd, func(current *tables.Snapshot) ([]tables.Operation, error) {
		old, ok := current.Route(args[0])
		if !ok {
			if !cmd.IsSet("address") || !cmd.IsSet("port") || !cmd.IsSet("pool") {
				return nil, usage.Errorf("route %q is new: --address, --port and --pool are required", args[0])
			}
			old = &tables.Route{Address: tables.Address{Protocol: tables.TCP}}
		}
		r, err := updatedRoute(cmd, *old)
		if err != nil {
			return nil, err
		}
		return []tables.Operation{tables.PutRoute{Name: args[0], Address: r.Address, Pool: r.Pool}}, nil
	})
}

// updatedRoute returns r with the changes that the flags ask for.
func updatedRoute(cmd *cli.Command, r tables.Route) (tables.Route, error) {
	addr, port := r.Address.AddrPort.Addr(), r.Address.AddrPort.Port()
	var err error
	if cmd.IsSet("address") {
		if addr, err = netip.ParseAddr(cmd.String("address")); err != nil {
			return r, usage.Errorf("--address: %v", err)
		}
	}
	if cmd.IsSet("port") {
		port = cmd.Uint16("port")
	}
	if cmd.IsSet("protocol") {
		if r.Address.Protocol, err = tables.ParseProtocol(cmd.String("protocol")); err != nil {
			return r, usage.Errorf("--protocol: %v", err)
		}
	}
	if cmd.IsSet("pool") {
		r.Pool = cmd.String("pool")
	}
	r.Address.AddrPort = netip.AddrPortFrom(addr, port)
	return r, nil
}

func deleteRoutes(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1, -1)
	if err != nil {
		return err
	}
	return write(ctx, cmd, func(*tables.Snapshot) ([]tables.Operation, error) {
		var ops []tables.Operation
		for _, name := range args {
			ops = append(ops, tables.DeleteRoute{Name: name})
		}
		return ops, nil
	})
}

// nonNil returns list, or an empty slice if it is nil, so that JSON output shows []
// rather than null.
func nonNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}
