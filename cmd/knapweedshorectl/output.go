package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"knapweedshore.example/internal/edit"
)

// Values of the flag --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// checkOutput validates the flag --output.
func checkOutput(format string) error {
	if format != outputTable && format != outputJSON {
		return errors.Errorf("output %q: want %s or %s", format, outputTable, outputJSON)
	}
	return nil
}

// table is a text table with a header.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, c := range cells {
		row[i] = fmt.Sprint(c)
	}
	t.rows = append(t.rows, row)
}

// printOutput prints value as JSON or t as text, according to --output.
func printOutput(cmd *cli.Command, value any, t table) error {
	if cmd.String("output") == outputJSON {
		return printJSON(cmd, value)
	}
	w := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{t.header}, t.rows...) {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

func printJSON(cmd *cli.Command, value any) error {
	encoder := json.NewEncoder(cmd.Root().Writer)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// resultJSON is the JSON output of a change.
type resultJSON struct {
	edit.Result
	Diff   []string `json:"diff"`
	DryRun bool     `json:"dry_run"`
}

func printResult(cmd *cli.Command, r edit.Result, dryRun bool) error {
	if cmd.String("output") == outputJSON {
		return printJSON(cmd, resultJSON{Result: r, Diff: lines(r.Diff), DryRun: dryRun})
	}
	outcome := fmt.Sprintf("version %d, write %s", r.Version, r.WriteID)
	switch {
	case r.Diff == "":
		outcome = fmt.Sprintf("no difference to version %d", r.Version)
	case dryRun:
		outcome = fmt.Sprintf("dry run against version %d: nothing was written", r.Version)
	}
	_, err := fmt.Fprintf(cmd.Root().Writer, "%s%s\n", r.Diff, outcome)
	return err
}

func lines(text string) []string {
	out := []string{}
	for line := range strings.Lines(text) {
		out = append(out, strings.TrimSuffix(line, "\n"))
	}
	return out
}
