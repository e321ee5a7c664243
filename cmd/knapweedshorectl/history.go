package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"knapweedshore.example/cmd/usage"
	"knapweedshore.example/internal/tables"
)

const defaultHistoryLimit = 20

func historyCommand() *cli.Command {
	return &cli.Command{
		Name:  "history",
		Usage: "list the last changes, or look for one write",
		Description: `The store keeps the write ids of the last 512 changes, and the details of the most
recent ones.

Examples:
  knapweedshorectl history --limit 5
  knapweedshorectl history --write 9f86d081884c7d65`,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "limit", Usage: "list at most `N` changes", Value: defaultHistoryLimit},
			&cli.StringFlag{Name: "write", Usage: "look for the write with this `ID`; fail if it is not among the last 512"},
		},
		Action: withTimeout(history),
	}
}

// historyEntry is one past change. For older changes, only the version and the
// write id are known.
type historyEntry struct {
	Version tables.Version `json:"version"`
	WriteID tables.WriteID `json:"write_id"`
	Time    *time.Time     `json:"time,omitempty"`
	Author  string         `json:"author,omitempty"`
	Changes []string       `json:"changes,omitempty"`
}

func history(ctx context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd, 0, 0); err != nil {
		return err
	}
	if cmd.Int("limit") < 1 {
		return usage.Errorf("--limit is %d, want at least 1", cmd.Int("limit"))
	}
	e, err := openEditor(cmd)
	if err != nil {
		return err
	}
	head, err := e.Head(ctx)
	if err != nil {
		return err
	}
	entries := historyOf(head)
	if id := tables.WriteID(cmd.String("write")); id != "" {
		entries = slices.DeleteFunc(entries, func(h historyEntry) bool { return h.WriteID != id })
		if len(entries) == 0 {
			return errors.Errorf("write %q is not among the last %d", id, len(head.WriteIDs))
		}
	}
	entries = entries[:min(len(entries), cmd.Int("limit"))]
	t := table{header: []string{"VERSION", "TIME", "AUTHOR", "WRITE", "CHANGES"}}
	for _, h := range entries {
		t.add(h.Version, h.timeText(), h.Author, h.WriteID, h.changesText())
	}
	return printOutput(cmd, nonNil(entries), t)
}

// historyOf returns the changes recorded in head, newest first.
func historyOf(head *tables.Head) []historyEntry {
	var out []historyEntry
	for i, id := range slices.Backward(head.WriteIDs) {
		h := historyEntry{Version: head.Version - tables.Version(len(head.WriteIDs)-1-i), WriteID: id}
		if h.Version > head.Base {
			d := head.Deltas[h.Version-head.Base-1]
			h.Time, h.Author = &d.Time, d.Author
			for _, op := range d.Operations {
				h.Changes = append(h.Changes, op.String())
			}
		}
		out = append(out, h)
	}
	return out
}

func (h historyEntry) timeText() string {
	if h.Time == nil {
		return "-"
	}
	return h.Time.Format(time.RFC3339)
}

func (h historyEntry) changesText() string {
	switch len(h.Changes) {
	case 0:
		return "-"
	case 1:
		return h.Changes[0]
	}
	return fmt.Sprintf("%s, and %d more", h.Changes[0], len(h.Changes)-1)
}
