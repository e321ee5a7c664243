package main

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc/iter"
	"github.com/urfave/cli/v3"

	"knapweedshore.example/cmd/usage"
	"knapweedshore.example/internal/peer"
	"knapweedshore.example/peerapi"
)

const (
	// maxConcurrentCalls limits how many daemons are asked at the same time.
	maxConcurrentCalls = 64
	// oldTablesAge is the age above which tables are reported as not confirmed.
	// Watchers confirm the version every few seconds.
	oldTablesAge = 30 * time.Second
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the state of the daemons and the imbalance of the pools",
		Description: `Asks all VMs listed in the store, or the daemons given with --daemon. Fails if a
daemon does not answer.

IMBALANCE is the highest utilisation of a server in the pool divided by the mean.
Utilisation is per unit of weight and summed over the daemons that answered.
Servers that every daemon has ejected are left out.

Examples:
  knapweedshorectl status --ca ca.pem --cert operator.pem --key operator.key
  knapweedshorectl status --daemon 192.0.2.21:7400 --daemon 192.0.2.22:7400`,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "daemon", Usage: "control `ADDR:PORT` of a daemon, instead of the VMs listed in the store; repeatable"},
			&cli.StringFlag{Name: "ca", Usage: "private CA, PEM `FILE`", Sources: cli.EnvVars("KNAPWEEDSHORE_CA"), Required: true},
			&cli.StringFlag{Name: "cert", Usage: "own certificate, PEM `FILE`", Sources: cli.EnvVars("KNAPWEEDSHORE_CERT"), Required: true},
			&cli.StringFlag{Name: "key", Usage: "own key, PEM `FILE`", Sources: cli.EnvVars("KNAPWEEDSHORE_KEY"), Required: true},
		},
		Action: withTimeout(status),
	}
}

func status(ctx context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd, 0, 0); err != nil {
		return err
	}
	credentials, err := peer.LoadCredentials(cmd.String("ca"), cmd.String("cert"), cmd.String("key"))
	if err != nil {
		return err
	}
	targets, err := statusTargets(ctx, cmd)
	if err != nil {
		return err
	}
	mapper := iter.Mapper[target, answer]{MaxGoroutines: maxConcurrentCalls}
	answers := mapper.Map(targets, func(t *target) answer {
		s, err := peer.FetchStatus(ctx, credentials, t.address)
		return answer{target: *t, status: s, err: err}
	})
	report := newStatusReport(answers)
	if err := report.print(cmd); err != nil {
		return err
	}
	if n := report.unanswered(); n > 0 {
		return errors.Errorf("%d of %d daemons did not answer", n, len(answers))
	}
	return nil
}

// target is a daemon to ask. The name is empty if --daemon gave the address.
type target struct {
	name    string
	address netip.AddrPort
}

// answer is the result of a status call to one daemon.
type answer struct {
	target
	status *peerapi.StatusResponse
	err    error
}

// statusTargets returns the daemons given with --daemon, or else the VMs listed in
// the store.
func statusTargets(ctx context.Context, cmd *cli.Command) ([]target, error) {
	var targets []target
	for _, text := range cmd.StringSlice("daemon") {
		address, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, usage.Errorf("--daemon: %v", err)
		}
		targets = append(targets, target{address: address})
	}
	if len(targets) > 0 {
		return targets, nil
	}
	s, err := openStore(cmd)
	if err != nil {
		return nil, err
	}
	vms, err := s.VMs(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "list VMs")
	}
	if len(vms) == 0 {
		return nil, errors.New("the store's list of VMs is empty")
	}
	for _, vm := range vms {
		targets = append(targets, target{name: vm.Name, address: vm.Control})
	}
	return targets, nil
}
