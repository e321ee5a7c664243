package main

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"knapweedshore.example/cmd/usage"
	"knapweedshore.example/internal/configcheck"
	"knapweedshore.example/platform"
)

// errFindings means that a configuration must not be sent.
var errFindings = errors.New("the configuration has errors")

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "check a configuration of the entry daemons before it is sent",
		Description: `Finds errors, entries that can never match and limits that contradict each other,
and lists what differs from the configuration in force: the one in the store, or
the file given with --against. Nothing is written. Warnings do not change the
exit code.

Examples:
  knapweedshorectl check -f next.json --against current.json
  knapweedshorectl --store 192.0.2.9:8500 --output json check -f next.json`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "JSON `FILE`, or - for standard input", Required: true},
			&cli.StringFlag{Name: "against", Usage: "`FILE` with the configuration in force, in place of the store"},
		},
		Action: withTimeout(check),
	}
}

// checkReport is the JSON output of a check.
type checkReport struct {
	Version  uint64                `json:"version"`
	Findings []configcheck.Finding `json:"findings"`
	Changes  []configcheck.Change  `json:"changes"`
	// ComparedWith is the version in force, null if there was none to compare with.
	ComparedWith *uint64 `json:"compared_with"`
}

func check(ctx context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd, 0, 0); err != nil {
		return err
	}
	file := cmd.String("file")
	data, err := readFile(file)
	if err != nil {
		return err
	}
	inForce, err := configInForce(ctx, cmd)
	if err != nil {
		return err
	}
	report := checkReport{Findings: []configcheck.Finding{}, Changes: []configcheck.Change{}}
	next, findings, err := platform.ParseDocument(data)
	if err != nil {
		return errors.Wrapf(errFindings, "%s: %s", file, err)
	}
	report.Version = next.Version
	report.Findings = append(append(report.Findings, findings...), configcheck.Check(next, inForce)...)
	configcheck.Sort(report.Findings)
	if inForce != nil {
		report.ComparedWith = &inForce.Version
		report.Changes = append(report.Changes, configcheck.Diff(inForce, next)...)
	}
	if err := report.print(cmd, file); err != nil {
		return err
	}
	if configcheck.HasErrors(report.Findings) {
		return errFindings
	}
	return nil
}

// configInForce reads the configuration to compare with, nil if there is none.
func configInForce(ctx context.Context, cmd *cli.Command) (*configcheck.Document, error) {
	var data []byte
	switch name, store := cmd.String("against"), cmd.String("store"); {
	case name != "":
		var err error
		if data, err = readFile(name); err != nil {
			return nil, err
		}
	case store != "":
		addr, err := netip.ParseAddrPort(strings.TrimPrefix(store, "http://"))
		if err != nil {
			return nil, usage.Errorf("--store %q: want ADDR:PORT", store)
		}
		client := platform.NewStore(addr)
		defer client.Close()
		if data, err = client.ReadConfig(ctx); err != nil {
			return nil, err
		}
	}
	if len(data) == 0 {
		return nil, nil
	}
	document, _, err := platform.ParseDocument(data)
	if err != nil {
		return nil, errors.Wrap(err, "configuration in force")
	}
	return document, nil
}

func (r checkReport) print(cmd *cli.Command, file string) error {
	if cmd.String("output") == outputJSON {
		return printJSON(cmd, r)
	}
	var b strings.Builder
	for _, f := range r.Findings {
		fmt.Fprintf(&b, "%s:%d: %s: %s: %s [%s]\n", file, f.Line, f.Severity, f.Path, f.Message, f.Rule)
	}
	for _, c := range r.Changes {
		fmt.Fprintf(&b, "%s %s%s%s\n", c.Kind, c.Subject, prefixed(": ", c.Before), prefixed(" -> ", c.After))
	}
	errorCount := len(slices.DeleteFunc(slices.Clone(r.Findings), func(f configcheck.Finding) bool { return f.Severity != configcheck.Error }))
	fmt.Fprintf(&b, "version %d: %d errors, %d warnings", r.Version, errorCount, len(r.Findings)-errorCount)
	if r.ComparedWith != nil {
		fmt.Fprintf(&b, ", %d differences from version %d", len(r.Changes), *r.ComparedWith)
	}
	_, err := fmt.Fprintln(cmd.Root().Writer, b.String())
	return err
}

// prefixed returns prefix and text, or nothing if text is empty.
func prefixed(prefix, text string) string {
	if text == "" {
		return ""
	}
	return prefix + text
}
