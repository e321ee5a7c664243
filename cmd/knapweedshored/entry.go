package main

import (
	"context"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

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
		Description: `Runs until it receives SIGTERM or SIGINT. It then reports that it is not ready and
keeps forwarding until no more packets arrive, for at most part of the grace
period. A second signal stops it immediately. SIGHUP or a change of the settings
file reloads the settings. The log goes to standard output, one JSON object per
line. docs/platform.md describes the platform.

Example:
  knapweedshored entry --config /etc/knapweedshore/entry.ini`,
		Flags:  []cli.Flag{entryConfigFlag()},
		Action: withoutArguments(runEntry),
	}
}

func entryConfigFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "config", Aliases: []string{"c"}, Required: true, TakesFile: true,
		Usage: "settings `FILE` in INI format", Sources: cli.EnvVars(platform.SettingsEnv),
	}
}

func runEntry(ctx context.Context, cmd *cli.Command) error {
	return serveEntry(ctx, cmd.String("config"), cmd.Root().Writer, func(o entry.Options) entry.Options { return o })
}

// serveEntry runs a daemon with the settings file at path until a signal stops it.
// modify can change the options of the daemon.
func serveEntry(ctx context.Context, path string, out io.Writer, modify func(entry.Options) entry.Options) error {
	s, err := settings.LoadEntry(path)
	if err != nil {
		return err
	}
	level, err := zap.ParseAtomicLevel(s.LogLevel)
	if err != nil {
		return errors.Wrap(err, "log level")
	}
	output := events.NewWriter(out)
	defer output.Close()
	log := events.New(newLoggerAt(level, zapcore.AddSync(output))).With(zap.String("vm", s.Name))
	registry := metrics.NewRegistry()
	store := platform.NewStore(s.Store)
	defer store.Close()
	d, err := entry.New(modify(entry.Options{
		Settings: s, Source: store, Decoder: platform.Decoder{}, Codec: platform.Codec{},
		ReadyPattern: platform.ReadyPattern, Metrics: registry, Log: log,
	}))
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Metrics.String())
	if err != nil {
		_ = d.Close() // report the first error
		return errors.Wrapf(err, "listen for metrics on %s", s.Metrics)
	}
	defer serveMetrics(listener, registry, d.Status, log)()

	ctx, stop := context.WithCancel(ctx)
	defer stop()
	terminate := make(chan os.Signal, 2)
	signal.Notify(terminate, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(terminate)
	go func() {
		<-terminate
		stop()
		<-terminate
		d.Kill()
	}()
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	d.Run(ctx, entry.ReloadOptions{Path: path, Signal: hangup, SetLevel: level.UnmarshalText})
	return nil
}
