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

// pollInterval is how often the settings file is checked for changes that no signal
// announces.
const pollInterval = 2 * time.Second

// ReloadOptions configures how the daemon reloads its settings.
type ReloadOptions struct {
	// Path is the settings file. If it is empty, settings are never reloaded.
	Path string
	// Signal requests an immediate reload.
	Signal <-chan os.Signal
	// SetLevel sets the log level by its name.
	SetLevel func(level []byte) error
}

// reload applies changes of the settings file until ctx ends. An invalid file is
// logged and leaves the current settings in force.
func (d *Daemon) reload(ctx context.Context, r ReloadOptions) {
	if r.Path == "" {
		return
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(r.Path) // a file that cannot be read is logged below
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-r.Signal:
			signalled = true
		case <-ticker.C:
		}
		data, err := os.ReadFile(r.Path)
		if err == nil && bytes.Equal(data, last) && !signalled {
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

// apply applies the settings that can change at run time, which are the seeds and
// the log level, and logs which changes need a restart.
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
