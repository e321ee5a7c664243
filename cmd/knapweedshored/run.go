package main

import (
	"context"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protojson"

	"knapweedshore.example/internal/balancer"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/settings"
	"knapweedshore.example/internal/store"
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run the daemon",
		Description: `Runs until it receives SIGTERM or SIGINT. It then leaves without breaking a flow,
which takes about half a minute. A second signal stops it immediately. The log
goes to standard error, one JSON object per line.

Example:
  knapweedshored run --config /etc/knapweedshore/vm.ini`,
		Flags:  []cli.Flag{configFlag()},
		Action: withoutArguments(runDaemon),
	}
}

func runDaemon(ctx context.Context, cmd *cli.Command) error {
	s, credentials, err := loadConfig(cmd.String("config"))
	if err != nil {
		return err
	}
	logger, err := newLogger(s.LogLevel, cmd.Root().ErrWriter)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)

	registry := metrics.NewRegistry()
	platform, err := openStore(s, registry)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Metrics.String())
	if err != nil {
		return errors.Wrapf(err, "listen for metrics on %s", s.Metrics)
	}
	b, err := balancer.New(balancer.Options{
		Settings: s, Store: platform, Logger: logger, Credentials: credentials, Metrics: registry,
	})
	if err != nil {
		_ = listener.Close() // report the first error
		return err
	}
	log := events.New(logger).With(zap.String("vm", s.Name))
	stopMetrics := serveMetrics(listener, registry, func() ([]byte, error) { return protojson.Marshal(b.Status()) }, log)
	defer stopMetrics()
	return serve(ctx, b, signals, log)
}

func openStore(s *settings.Settings, registry *metrics.Registry) (store.Store, error) {
	client, err := store.NewHTTP("http://" + s.Store.String())
	if err != nil {
		return nil, err
	}
	return store.NewBudget(client, store.BudgetOptions{Metrics: registry}), nil
}

// daemon is the part of balancer.Balancer that serve uses.
type daemon interface {
	Run(ctx context.Context) error
	Leave(ctx context.Context) error
	Kill()
}

// errKilled is returned by serve after a second signal.
var errKilled = errors.New("stopped immediately by a second signal; flows may have been broken")

// serve runs the daemon until it fails or a signal stops it. The first signal lets it
// leave, a second one stops it immediately.
func serve(ctx context.Context, d daemon, signals <-chan os.Signal, log *events.Logger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	runErr := make(chan error, 1)
	go func() { runErr <- d.Run(ctx) }()
	select {
	case err := <-runErr:
		return err
	case <-signals:
	}
	leaveErr := make(chan error, 1)
	go func() { leaveErr <- d.Leave(ctx) }()
	select {
	case err := <-leaveErr:
		if err != nil {
			log.Log(events.DaemonFailed, zap.String("part", "leave"), zap.Error(err))
		}
		return <-runErr
	case err := <-runErr:
		return err
	case <-signals:
		d.Kill()
		return errKilled
	}
}
