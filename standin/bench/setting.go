package bench

import (
	"github.com/go-faster/errors"

	"knapweedshore.example/standin/site"
)

// Names of settings, which say what changes during a run.
const (
	// Steady makes no changes.
	Steady = "steady"
	// Rolling replaces all balancers one by one and drains a server.
	Rolling = "rolling"
	// Crash kills one balancer.
	Crash = "crash"
)

// Settings returns the names of all settings.
func Settings() []string { return []string{Steady, Rolling, Crash} }

// applySetting configures a site for a setting.
func applySetting(setting string, c *site.Config) error {
	switch setting {
	case Steady:
		c.NoChanges = true
	case Rolling:
		c.Changes = site.Rolling
	case Crash:
		c.Changes = site.Crash
	default:
		return errors.Errorf("unknown setting %q", setting)
	}
	return nil
}
