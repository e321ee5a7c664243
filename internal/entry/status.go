package entry

import (
	"encoding/json"
	"time"

	"knapweedshore.example/internal/admission"
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
	// ServersGone is the number of servers whose open flows are reset.
	ServersGone int `json:"servers_gone"`
	PeersKnown  int `json:"peers_known"`
	PeersLive   int `json:"peers_live"`
	// Evacuations lists the evacuated availability zones.
	Evacuations []Evacuation `json:"evacuations"`
	// PacedServers are the ids of servers that have started or recovered and get only
	// as much as they have shown that they can answer.
	PacedServers []string `json:"paced_servers,omitempty"`
	// FailingServers are the servers that get fewer flows since they fail far more requests
	// than their pools.
	FailingServers []string `json:"failing_servers,omitempty"`
	// Admission holds the pools in which routes of different priorities compete.
	Admission []admission.PoolStatus `json:"admission,omitempty"`
}

// Evacuation is an evacuated availability zone in a Status.
type Evacuation struct {
	Zone string `json:"zone"`
	// Since is when a daemon first read the request from the store.
	Since time.Time `json:"since"`
	// Era and Revision are where the store states the request.
	Era      uint64 `json:"era"`
	Revision uint64 `json:"revision"`
	// Lost is set if the store was restored and lacks the request, which is still in force.
	Lost bool `json:"lost"`
	// Servers counts the servers of the zone.
	Servers int `json:"servers"`
}

// Status returns the daemon's Status as JSON.
func (d *Daemon) Status() ([]byte, error) {
	now := time.Now()
	position := d.follower.Position()
	s := Status{
		VM: d.options.Settings.Name, Zone: d.options.Settings.Zone, Leaving: d.leaving.Load(),
		Watching: d.follower.Watching(), Era: position.Era, Revision: position.Revision, Flows: d.engine.FlowCount(),
		Evacuations: []Evacuation{},
	}
	if dir := d.follower.Current(); dir != nil {
		s.Ready = !s.Leaving
		s.ConfigVersion, s.Servers = dir.Config.Version, dir.ServerCount()
		s.DirectoryAgeMS = d.follower.Age(now).Milliseconds()
		for _, e := range dir.Evacuations() {
			s.Evacuations = append(s.Evacuations, Evacuation{
				Zone: e.Zone, Since: e.Since, Era: e.Position.Era, Revision: e.Position.Revision, Lost: e.Lost, Servers: dir.ServersIn(e.Zone),
			})
		}
	}
	s.PacedServers = d.placer.PacedServers(now)
	if d.admission != nil {
		s.Admission = d.admission.Status(now)
	}
	if d.silences != nil {
		s.ServersGone = d.silences.GoneCount()
	}
	for _, c := range d.placer.Failing(now) {
		s.FailingServers = append(s.FailingServers, d.serverName(c))
	}
	s.PeersKnown, s.PeersLive = d.table.PeerCounts(now)
	return json.Marshal(s)
}
