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
		Description: `Runs until it gets SIGTERM or SIGINT. It then leaves without cutting a flow,
which takes about half a minute; a second signal ends it at once. The log goes
to standard error, one JSON object a line.

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
		_ = listener.Close() // the first error is the one to report
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

// daemon is what serve needs of a balancer.
type daemon interface {
	Run(ctx context.Context) error
	Leave(ctx context.Context) error
	Kill()
}

// errKilled is the result of a second signal.
var errKilled = errors.New("ended at once by a second signal; flows may have been cut")

// serve runs the daemon until it fails or a signal ends it: the first one lets
// it leave, the second one ends it at once.
func serve(ctx context.Context, d daemon, signals <-chan os.Signal, log *events.Logger) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	select {
	case err := <-ended:
		return err
	case <-signals:
	}
	left := make(chan error, 1)
	go func() { left <- d.Leave(ctx) }()
	select {
	case err := <-left:
		if err != nil {
			log.Log(events.DaemonFailed, zap.String("part", "leave"), zap.Error(err))
		}
		return <-ended
	case err := <-ended:
		return err
	case <-signals:
		d.Kill()
		return errKilled
	}
}
