package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"knapweedshore.example/internal/tables"
)

// completeTimeout keeps the shell from hanging when the store is away.
const completeTimeout = time.Second

// completeRoutes suggests names of routes.
func completeRoutes(ctx context.Context, cmd *cli.Command) {
	completeNames(ctx, cmd, func(s *tables.Snapshot) (names []string) {
		for _, r := range s.Routes() {
			names = append(names, r.Name)
		}
		return names
	})
}

// completePools suggests names of pools first, then of the pool's servers.
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

func completeNames(ctx context.Context, cmd *cli.Command, names func(*tables.Snapshot) []string) {
	if args := cmd.Args().Slice(); len(args) > 0 && strings.HasPrefix(args[len(args)-1], "-") {
		cli.DefaultCompleteWithFlags(ctx, cmd)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, completeTimeout)
	defer cancel()
	state, err := readTables(ctx, cmd)
	if err != nil {
		return // a completion has nowhere to report it
	}
	for _, name := range names(state.Snapshot) {
		fmt.Fprintln(cmd.Root().Writer, name)
	}
}
