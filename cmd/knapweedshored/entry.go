package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"knapweedshore.example/internal/entry"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/settings"
	"knapweedshore.example/platform"
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run the daemon behind a carrier with cookies",
		Description: `Runs until it gets SIGTERM or SIGINT. It is then not ready any more and goes on
forwarding for part of the grace period. The log goes to standard output, one
JSON object a line. docs/platform.md describes the platform.

Example:
  knapweedshored entry --config /etc/knapweedshore/entry.ini`,
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "config", Aliases: []string{"c"}, Required: true, TakesFile: true,
			Usage: "settings `FILE` in INI form", Sources: cli.EnvVars(platform.SettingsEnv),
		}},
		Action: withoutArguments(runEntry),
	}
}

func runEntry(ctx context.Context, cmd *cli.Command) error {
	s, err := settings.LoadEntry(cmd.String("config"))
	if err != nil {
		return err
	}
	logger, err := newLogger(s.LogLevel, cmd.Root().Writer)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	store := platform.NewStore(s.Store)
	defer store.Close()
	d, err := entry.New(entry.Options{
		Settings: s, Source: store, Decoder: platform.Decoder{}, Codec: platform.Codec{}, ReadyPattern: platform.ReadyPattern,
		Metrics: metrics.NewRegistry(), Log: events.New(logger).With(zap.String("vm", s.Name)),
	})
	if err != nil {
		return err
	}
	return d.Run(ctx)
}
