package main

import (
	"context"
	"io"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"knapweedshore.example/internal/tables"
)

// maxFileSize limits the INI file, in bytes. Tables of the target size take about
// 1 MB.
const maxFileSize = 16_000_000

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "make the tables match an INI file",
		Description: `Deletes entries that are not in the file and prints the difference. Entries that
another editor adds in the meantime stay.

  [route mapas]
  address = 192.0.2.2
  port = 443
  protocol = tcp
  pool = mapas

  [pool mapas]
  server.m1 = 10.2.0.1:80 zone=cartago-sur weight=50
  server.m2 = 10.2.0.2:80 zone=cartago-norte state=draining

Examples:
  knapweedshorectl apply --dry-run -f tables.ini
  knapweedshorectl apply -f - < tables.ini`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "INI `FILE`, or - for standard input", Required: true},
			dryRunFlag(),
		},
		Action: withTimeout(apply),
	}
}

func apply(ctx context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd, 0, 0); err != nil {
		return err
	}
	file := cmd.String("file")
	data, err := readFile(file)
	if err != nil {
		return err
	}
	desired, err := tables.ParseINI(file, data)
	if err != nil {
		return err
	}
	return write(ctx, cmd, func(current *tables.Snapshot) ([]tables.Operation, error) {
		return tables.Diff(current, desired), nil
	})
}

func readFile(name string) ([]byte, error) {
	in := os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "read tables")
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	data, err := io.ReadAll(io.LimitReader(in, maxFileSize+1))
	if err != nil {
		return nil, errors.Wrap(err, "read tables")
	}
	if len(data) > maxFileSize {
		return nil, errors.Errorf("%s is larger than %d bytes", name, maxFileSize)
	}
	return data, nil
}
