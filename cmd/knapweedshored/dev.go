package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"knapweedshore.example/cmd/usage"
	"knapweedshore.example/standin/entrysite"
	"knapweedshore.example/standin/site"
)

const (
	outputText = "text"
	outputJSON = "json"

	// minDevDuration leaves time for all changes of a run.
	minDevDuration = 5 * time.Second

	carrierCookie = "cookie"
	carrierGeneve = "geneve"
)

// errPromiseBroken is returned by dev after it has written a summary with violations.
var errPromiseBroken = errors.New("a promise was broken; see the violations in the summary")

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a whole site in this process and check the promises",
		Description: `Starts callers, routers, daemons and backend servers on loopback addresses,
makes planned changes and a crash under traffic, and reports what the callers
experienced. Progress goes to standard error, the summary to standard output.
Fails if a promise was broken. The carrier is either the platform's, with cookies,
or Geneve, where each flow has an owner. The flag --site applies to Geneve only.

Examples:
  knapweedshored dev
  knapweedshored dev --seed 7 --output json > summary.json
  knapweedshored dev --carrier geneve --site sullam --duration 30s`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "carrier", Value: carrierCookie, Usage: "`NAME` of the carrier: cookie or geneve"},
			&cli.StringFlag{Name: "site", Value: "dev", Usage: "`NAME` of the site, with Geneve only: dev, quesada or sullam"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`NUMBER` that determines flows, changes and the fabric's choices"},
			&cli.DurationFlag{Name: "duration", Value: site.DefaultDuration, Usage: "open flows for `TIME`"},
			&cli.BoolFlag{Name: "still", Usage: "make no changes and no crash"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: outputText, Usage: "`FORMAT` of the summary: text or json"},
		},
		Action: withoutArguments(dev),
	}
}

func dev(ctx context.Context, cmd *cli.Command) error {
	config, err := devConfig(cmd)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	progress := func(line string) { fmt.Fprintln(cmd.Root().ErrWriter, line) }
	var summary devSummary
	if cmd.String("carrier") == carrierCookie {
		summary, err = entrysite.Run(ctx, entrysite.Config{Seed: config.Seed, Duration: config.Duration, Still: config.NoChanges}, progress)
	} else {
		summary, err = site.Run(ctx, config, progress)
	}
	if err != nil {
		return err
	}
	if err := writeSummary(cmd.Root().Writer, summary, cmd.String("output")); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return errors.New("interrupted; the summary is incomplete")
	}
	if !summary.OK() {
		return errPromiseBroken
	}
	return nil
}

// devSummary is the result of a run with either carrier.
type devSummary interface {
	OK() bool
	String() string
	WriteJSON(w io.Writer) error
}

func devConfig(cmd *cli.Command) (site.Config, error) {
	description, ok := site.ByName(cmd.String("site"))
	if !ok {
		return site.Config{}, usage.Errorf("--site is %q, want dev, quesada or sullam", cmd.String("site"))
	}
	if c := cmd.String("carrier"); c != carrierCookie && c != carrierGeneve {
		return site.Config{}, usage.Errorf("--carrier is %q, want %s or %s", c, carrierCookie, carrierGeneve)
	}
	if o := cmd.String("output"); o != outputText && o != outputJSON {
		return site.Config{}, usage.Errorf("--output is %q, want %s or %s", o, outputText, outputJSON)
	}
	duration := cmd.Duration("duration")
	if duration < minDevDuration {
		return site.Config{}, usage.Errorf("--duration is %s, want at least %s for all changes", duration, minDevDuration)
	}
	return site.Config{Site: description, Seed: cmd.Uint64("seed"), Duration: duration, NoChanges: cmd.Bool("still")}, nil
}

func writeSummary(w io.Writer, s devSummary, format string) error {
	if format == outputJSON {
		return s.WriteJSON(w)
	}
	if _, err := io.WriteString(w, s.String()); err != nil {
		return errors.Wrap(err, "write summary")
	}
	return nil
}
