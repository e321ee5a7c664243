package main

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"knapweedshore.example/peerapi"
)

// statusReport is the JSON output of the status command.
type statusReport struct {
	Daemons []daemonReport `json:"daemons"`
	Pools   []poolReport   `json:"pools"`
}

// daemonReport is the state of one daemon.
type daemonReport struct {
	Name    string `json:"name,omitempty"`
	Address string `json:"address"`
	Zone    string `json:"zone,omitempty"`
	Version uint64 `json:"version"`
	// AgeMs is the time since the version was last confirmed to be the newest.
	AgeMs  uint64 `json:"age_ms"`
	Health string `json:"health"`
	Flows  uint32 `json:"flows"`
	Slots  uint32 `json:"slots"`
	// Members is how many live members of its region the daemon sees.
	Members int    `json:"members"`
	Error   string `json:"error,omitempty"`
}

// poolReport is the state of one pool, combined from all daemons that answered.
type poolReport struct {
	Name    string `json:"name"`
	Servers int    `json:"servers"`
	// Ejected is how many servers have been ejected by every daemon.
	Ejected int    `json:"ejected"`
	Flows   uint64 `json:"flows"`
	// Imbalance is the highest utilisation of a server divided by the mean, or 0
	// while the pool is idle.
	Imbalance float64 `json:"imbalance"`
}

func newStatusReport(answers []answer) statusReport {
	newestVersion := uint64(0)
	for _, a := range answers {
		newestVersion = max(newestVersion, a.status.GetTablesVersion())
	}
	r := statusReport{Daemons: []daemonReport{}, Pools: poolReports(answers)}
	for _, a := range answers {
		r.Daemons = append(r.Daemons, newDaemonReport(a, newestVersion))
	}
	slices.SortFunc(r.Daemons, func(a, b daemonReport) int {
		return cmp.Or(strings.Compare(a.Name, b.Name), strings.Compare(a.Address, b.Address))
	})
	return r
}

func newDaemonReport(a answer, newestVersion uint64) daemonReport {
	d := daemonReport{Name: a.name, Address: a.address.String(), Health: "no answer"}
	if a.err != nil {
		d.Error = a.err.Error()
		return d
	}
	s := a.status
	d.Name, d.Zone = s.GetSelf().GetName(), s.GetSelf().GetZone()
	d.Version, d.AgeMs = s.GetTablesVersion(), s.GetTablesAgeMs()
	d.Flows, d.Slots = s.GetOpenFlows(), s.GetSlotsOwned()
	for _, m := range s.GetMembers() {
		if m.GetState() == peerapi.MemberState_MEMBER_STATE_ALIVE {
			d.Members++
		}
	}
	d.Health = health(s, newestVersion)
	return d
}

// health returns the faults of a daemon, or "ok".
func health(s *peerapi.StatusResponse, newestVersion uint64) string {
	var faults []string
	if state := s.GetSelf().GetState(); state != peerapi.MemberState_MEMBER_STATE_ALIVE {
		name := strings.TrimPrefix(state.String(), "MEMBER_STATE_")
		faults = append(faults, strings.ToLower(name))
	}
	if !s.GetStanding() {
		faults = append(faults, "no standing")
	}
	switch {
	case s.GetTablesVersion() == 0:
		faults = append(faults, "no tables")
	case s.GetTablesVersion() < newestVersion:
		faults = append(faults, fmt.Sprintf("%d versions behind", newestVersion-s.GetTablesVersion()))
	}
	if age := time.Duration(s.GetTablesAgeMs()) * time.Millisecond; age > oldTablesAge {
		faults = append(faults, "tables not confirmed")
	}
	if len(faults) == 0 {
		return "ok"
	}
	return strings.Join(faults, ", ")
}

// serverTotal is the load of one server, summed over all daemons.
type serverTotal struct {
	flows       uint64
	utilisation float64
	usable      bool // at least one daemon has not ejected it
}

func poolReports(answers []answer) []poolReport {
	pools := make(map[string]map[string]*serverTotal)
	for _, a := range answers {
		for _, s := range a.status.GetServers() {
			servers := pools[s.GetPool()]
			if servers == nil {
				servers = make(map[string]*serverTotal)
				pools[s.GetPool()] = servers
			}
			total := servers[s.GetServer()]
			if total == nil {
				total = new(serverTotal)
				servers[s.GetServer()] = total
			}
			total.flows += uint64(s.GetOpenFlows())
			total.utilisation += s.GetUtilisation()
			total.usable = total.usable || !s.GetEjected()
		}
	}
	out := []poolReport{}
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		out = append(out, newPoolReport(name, pools[name]))
	}
	return out
}

// newPoolReport combines the servers of a pool. Servers that every daemon has
// ejected do not count for the imbalance.
func newPoolReport(name string, servers map[string]*serverTotal) poolReport {
	r := poolReport{Name: name, Servers: len(servers)}
	highest, sum := 0.0, 0.0
	for _, s := range servers {
		r.Flows += s.flows
		if !s.usable {
			r.Ejected++
			continue
		}
		highest = max(highest, s.utilisation)
		sum += s.utilisation
	}
	if sum > 0 {
		r.Imbalance = highest * float64(r.Servers-r.Ejected) / sum
	}
	return r
}

// unanswered returns how many daemons did not answer.
func (r statusReport) unanswered() int {
	n := 0
	for _, d := range r.Daemons {
		if d.Error != "" {
			n++
		}
	}
	return n
}

func (r statusReport) print(cmd *cli.Command) error {
	if cmd.String("output") == outputJSON {
		return printJSON(cmd, r)
	}
	daemons := table{header: []string{"DAEMON", "ADDRESS", "ZONE", "VERSION", "AGE", "HEALTH", "FLOWS", "SLOTS", "MEMBERS"}}
	for _, d := range r.Daemons {
		if d.Error != "" {
			daemons.add(cmp.Or(d.Name, "-"), d.Address, "-", "-", "-", d.Health+": "+d.Error, "-", "-", "-")
			continue
		}
		age := (time.Duration(d.AgeMs) * time.Millisecond).Round(100 * time.Millisecond)
		daemons.add(d.Name, d.Address, d.Zone, d.Version, age, d.Health, d.Flows, d.Slots, d.Members)
	}
	if err := printOutput(cmd, nil, daemons); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(cmd.Root().Writer); err != nil {
		return err
	}
	pools := table{header: []string{"POOL", "SERVERS", "EJECTED", "FLOWS", "IMBALANCE"}}
	for _, p := range r.Pools {
		imbalance := "-"
		if p.Imbalance > 0 {
			imbalance = fmt.Sprintf("%.2f", p.Imbalance)
		}
		pools.add(p.Name, p.Servers, p.Ejected, p.Flows, imbalance)
	}
	return printOutput(cmd, nil, pools)
}
