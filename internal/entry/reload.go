package entry

import (
	"bytes"
	"context"
	"os"
	"time"

	"go.uber.org/zap"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/settings"
)

// pollInterval is how often the settings file is read: it may change without a
// signal.
const pollInterval = 2 * time.Second

// ReloadOptions says how settings are read again.
type ReloadOptions struct {
	// Path names the file; nothing is read again if it is empty.
	Path string
	// Signal asks to read the file at once.
	Signal <-chan os.Signal
	// SetLevel changes the log level.
	SetLevel func(level []byte) error
}

// reload takes over changed settings until ctx ends. A file with a fault leaves
// the settings in force as they are.
func (d *Daemon) reload(ctx context.Context, r ReloadOptions) {
	if r.Path == "" {
		return
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(r.Path) // an unreadable file is reported below
	for {
		asked := false
		select {
		case <-ctx.Done():
			return
		case <-r.Signal:
			asked = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(r.Path)
		if err == nil && bytes.Equal(data, last) && !asked {
			continue
		}
		if err == nil {
			last = data
			err = d.apply(data, r)
		}
		if err != nil {
			d.options.Log.Log(events.ReloadRefused, events.ErrorMessage(err))
		}
	}
}

// apply takes over what can change at run time: seeds and log level.
func (d *Daemon) apply(data []byte, r ReloadOptions) error {
	next, err := settings.ParseEntry(r.Path, data)
	if err != nil {
		return err
	}
	if err := r.SetLevel([]byte(next.LogLevel)); err != nil {
		return err
	}
	d.table.SetSeeds(addrs(next.Seeds))
	d.options.Log.Log(events.Reloaded, zap.Strings("restart", d.options.Settings.RestartKeys(next)))
	return nil
}
