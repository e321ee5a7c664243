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
	"knapweedshore.example/standin/site"
)

const (
	outputText = "text"
	outputJSON = "json"

	minDevDuration = 5 * time.Second
)

// errPromiseBroken makes dev fail after its summary was written.
var errPromiseBroken = errors.New("a promise was broken; see the violations in the summary")

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a whole site in this process and judge it",
		Description: `Starts callers, a fabric, balancers and backend servers on loopback addresses,
makes planned changes and a crash under traffic, and reports what the callers
experienced. Progress goes to standard error, the summary to standard output.
Fails when a promise was broken.

Examples:
  knapweedshored dev
  knapweedshored dev --site sullam --duration 30s
  knapweedshored dev --seed 7 --output json > summary.json`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "site", Value: "dev", Usage: "`NAME` of the site: dev, quesada or sullam"},
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
	summary, err := site.Run(ctx, config, func(line string) {
		fmt.Fprintln(cmd.Root().ErrWriter, line)
	})
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

func devConfig(cmd *cli.Command) (site.Config, error) {
	description, ok := site.Reference(cmd.String("site"))
	if !ok {
		return site.Config{}, usage.Errorf("--site is %q, want dev, quesada or sullam", cmd.String("site"))
	}
	if o := cmd.String("output"); o != outputText && o != outputJSON {
		return site.Config{}, usage.Errorf("--output is %q, want %s or %s", o, outputText, outputJSON)
	}
	duration := cmd.Duration("duration")
	if duration < minDevDuration {
		return site.Config{}, usage.Errorf("--duration is %s, want at least %s for all changes", duration, minDevDuration)
	}
	return site.Config{Site: description, Seed: cmd.Uint64("seed"), Duration: duration, Still: cmd.Bool("still")}, nil
}

func writeSummary(w io.Writer, s *site.Summary, format string) error {
	if format == outputJSON {
		return s.WriteJSON(w)
	}
	if _, err := io.WriteString(w, s.String()); err != nil {
		return errors.Wrap(err, "write summary")
	}
	return nil
}
