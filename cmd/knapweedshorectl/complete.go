package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"knapweedshore.example/internal/tables"
)

// completeTimeout limits a completion, so that the shell does not hang when the
// store is unavailable.
const completeTimeout = time.Second

// completeRoutes suggests the names of routes.
func completeRoutes(ctx context.Context, cmd *cli.Command) {
	completeNames(ctx, cmd, func(s *tables.Snapshot) (names []string) {
		for _, r := range s.Routes() {
			names = append(names, r.Name)
		}
		return names
	})
}

// completePools suggests the names of pools or, after the name of a pool, of its
// servers.
func completePools(ctx context.Context, cmd *cli.Command) {
	completeNames(ctx, cmd, func(s *tables.Snapshot) (names []string) {
		if p, ok := s.Pool(cmd.Args().First()); ok {
			for _, srv := range p.Servers {
				names = append(names, srv.Name)
			}
			return names
		}
		for _, p := range s.Pools() {
			names = append(names, p.Name)
		}
		return names
	})
}

// completeNames suggests flags after a dash, and otherwise the result of names.
func completeNames(ctx context.Context, cmd *cli.Command, names func(*tables.Snapshot) []string) {
	if args := cmd.Args().Slice(); len(args) > 0 && strings.HasPrefix(args[len(args)-1], "-") {
		cli.DefaultCompleteWithFlags(ctx, cmd)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, completeTimeout)
	defer cancel()
	state, err := readTables(ctx, cmd)
	if err != nil {
		return // a completion cannot report errors
	}
	for _, name := range names(state.Snapshot) {
		fmt.Fprintln(cmd.Root().Writer, name)
	}
}
