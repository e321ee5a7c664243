package entry

import (
	"encoding/json"
	"time"
)

// Status is the state that a daemon publishes on its metrics address.
type Status struct {
	VM       string `json:"vm"`
	Zone     string `json:"zone"`
	Ready    bool   `json:"ready"`
	Leaving  bool   `json:"leaving"`
	Watching bool   `json:"watching"`
	// Era counts the restores of the store from a backup. Revision belongs to it.
	Era           uint64 `json:"era"`
	Revision      uint64 `json:"revision"`
	ConfigVersion uint64 `json:"config_version"`
	// DirectoryAgeMS is the time in milliseconds since the directory was last
	// confirmed to be up to date.
	DirectoryAgeMS int64 `json:"directory_age_ms"`
	Servers        int   `json:"servers"`
	Flows          int   `json:"flows"`
	PeersKnown     int   `json:"peers_known"`
	PeersLive      int   `json:"peers_live"`
}

// Status returns the daemon's Status as JSON.
func (d *Daemon) Status() ([]byte, error) {
	now := time.Now()
	position := d.follower.Position()
	s := Status{
		VM: d.options.Settings.Name, Zone: d.options.Settings.Zone, Leaving: d.leaving.Load(),
		Watching: d.follower.Watching(), Era: position.Era, Revision: position.Revision, Flows: d.engine.FlowCount(),
	}
	if dir := d.follower.Current(); dir != nil {
		s.Ready = !s.Leaving
		s.ConfigVersion, s.Servers = dir.Config.Version, dir.ServerCount()
		s.DirectoryAgeMS = d.follower.Age(now).Milliseconds()
	}
	s.PeersKnown, s.PeersLive = d.table.PeerCounts(now)
	return json.Marshal(s)
}
