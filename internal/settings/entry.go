package settings

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"strconv"
	"time"
)

// Entry are the settings of a daemon behind a carrier with cookies. They are
// checked and must not be changed.
type Entry struct {
	// Name is unique in the region.
	Name   string
	Region string
	Zone   string

	// Data is where packets arrive, Ready where the fabric asks whether to send
	// them.
	Data  netip.AddrPort
	Ready netip.AddrPort
	// Peer is the UDP and TCP address by which the other daemons know this one. All
	// daemons use the same port.
	Peer netip.AddrPort
	// PeerListen is the address that is bound for them. It differs from Peer if
	// addresses are translated on the way.
	PeerListen netip.AddrPort
	// Metrics is where expvar is served.
	Metrics netip.AddrPort
	// Store is the address of the platform's key-value service.
	Store netip.AddrPort
	// Seeds are addresses of other VMs of the region; only the IP addresses are used.
	Seeds []netip.AddrPort

	// GracePeriod is the time between the signals that ask and force the daemon to end.
	GracePeriod time.Duration
	// RecoveryTime is within which the directory has to be current again after a
	// failure of the network or the store has ended.
	RecoveryTime time.Duration
	// DrainTime is within which a server that drains gets no new flows any more, and
	// ConfigTime within which a configuration is in force.
	DrainTime, ConfigTime time.Duration
	// FlowLifetime is the longest life of a flow.
	FlowLifetime time.Duration
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

// LoadEntry reads and checks a settings file. The error is an *InvalidError if
// the file could be read.
func LoadEntry(path string) (*Entry, error) {
	data, err := read(path)
	if err != nil {
		return nil, err
	}
	return ParseEntry(path, data)
}

// ParseEntry checks the content of a settings file; path names it in errors.
// The error is an *InvalidError with all problems of the file.
func ParseEntry(path string, data []byte) (*Entry, error) {
	p := parser{file: path, keys: entryKeys, draft: draft{dir: filepath.Dir(path)}}
	p.parse(data)
	if err := p.err(); err != nil {
		return nil, err
	}
	e := &p.draft.entry
	if !e.PeerListen.IsValid() {
		e.PeerListen = e.Peer
	}
	return e, nil
}

// ReactionTime is within which a change in the store is acted upon, whatever it is.
func (e *Entry) ReactionTime() time.Duration { return min(e.DrainTime, e.ConfigTime) }

// EntryKeys returns every key of the settings file of an entry daemon in the
// order of the reference.
func EntryKeys() []Key { return entryKeys }

var entryKeys = []Key{
	{Section: "vm", Name: "name", Required: true,
		Meaning: "name of this VM, unique in its region",
		set:     func(s *draft, v string) string { return name(&s.entry.Name, v) }},
	{Section: "vm", Name: "region", Required: true,
		Meaning: "region of this VM",
		set:     func(s *draft, v string) string { return name(&s.entry.Region, v) }},
	{Section: "vm", Name: "zone", Required: true,
		Meaning: "availability zone of this VM",
		set:     func(s *draft, v string) string { return name(&s.entry.Zone, v) }},

	{Section: "addresses", Name: "data", Required: true,
		Meaning: "UDP address for callers' packets",
		set:     func(s *draft, v string) string { return remoteAddress(&s.entry.Data, v) }},
	{Section: "addresses", Name: "ready", Required: true,
		Meaning: "TCP address where the fabric asks over HTTP whether the daemon takes packets",
		set:     func(s *draft, v string) string { return remoteAddress(&s.entry.Ready, v) }},
	{Section: "addresses", Name: "peer", Required: true,
		Meaning: "UDP address for the other daemons; the port is the same on all VMs",
		set:     func(s *draft, v string) string { return remoteAddress(&s.entry.Peer, v) }},
	{Section: "addresses", Name: "peer_listen", Default: "",
		Meaning: "UDP and TCP address to bind for the other daemons, if addresses are translated on the way; the same as peer without it",
		set:     func(s *draft, v string) string { return optionalAddress(&s.entry.PeerListen, v) }},
	{Section: "addresses", Name: "metrics", Default: "127.0.0.1:7480",
		Meaning: "TCP address where counters are served over HTTP at /debug/vars",
		set:     func(s *draft, v string) string { return address(&s.entry.Metrics, v) }},
	{Section: "addresses", Name: "store", Required: true,
		Meaning: "TCP address of the platform store, reached over HTTP",
		set:     func(s *draft, v string) string { return remoteAddress(&s.entry.Store, v) }},
	{Section: "addresses", Name: "seeds", Default: "",
		Meaning: "addresses of some VMs of the region, separated by commas; their IP addresses find the first peers",
		set:     func(s *draft, v string) string { return addresses(&s.entry.Seeds, v, 0) }},

	{Section: "limits", Name: "grace_s", Default: "6",
		Meaning: "seconds between SIGTERM and SIGKILL",
		set:     func(s *draft, v string) string { return duration(&s.entry.GracePeriod, v, time.Second, maxGrace) }},

	{Section: "limits", Name: "recovery_ms", Default: "4000",
		Meaning: "milliseconds after the end of a failure of the network or the store until the daemon must have the newest directory",
		set: func(s *draft, v string) string {
			return duration(&s.entry.RecoveryTime, v, time.Millisecond, maxRecovery)
		}},

	{Section: "limits", Name: "drain_ms", Default: "3000",
		Meaning: "milliseconds after which a server that drains gets no new flows any more",
		set:     func(s *draft, v string) string { return duration(&s.entry.DrainTime, v, time.Millisecond, maxRecovery) }},
	{Section: "limits", Name: "config_ms", Default: "3000",
		Meaning: "milliseconds within which a new configuration is in force",
		set: func(s *draft, v string) string {
			return duration(&s.entry.ConfigTime, v, time.Millisecond, maxRecovery)
		}},
	{Section: "limits", Name: "flow_life_s", Default: "60",
		Meaning: "longest life of a flow in seconds; packets find a server that is gone for as long",
		set:     func(s *draft, v string) string { return duration(&s.entry.FlowLifetime, v, time.Second, maxFlowLife) }},

	{Section: "log", Name: "level", Default: "info",
		Meaning: "lowest level that is logged: debug, info, warn or error",
		set:     func(s *draft, v string) string { return level(&s.entry.LogLevel, v) }},
}

// Bounds of settings: what service managers allow, the longest silence of a
// watch that the store allows, and a day.
const (
	maxGrace    = time.Hour
	maxRecovery = 40 * time.Second
	maxFlowLife = 24 * time.Hour
)

// duration accepts a positive number of units, which may have a fraction.
func duration(to *time.Duration, v string, unit, most time.Duration) string {
	n, err := strconv.ParseFloat(v, 64)
	highest := float64(most) / float64(unit)
	if err != nil || !(n > 0 && n <= highest) {
		return fmt.Sprintf("a number above 0 and up to %.0f", highest)
	}
	*to = time.Duration(n * float64(unit))
	return ""
}

// RestartKeys names the keys whose change takes effect when the daemon starts
// again.
func (e *Entry) RestartKeys(next *Entry) []string {
	changed := []string{}
	note := func(key string, differs bool) {
		if differs {
			changed = append(changed, key)
		}
	}
	note("vm.name", e.Name != next.Name)
	note("vm.region", e.Region != next.Region)
	note("vm.zone", e.Zone != next.Zone)
	note("addresses.data", e.Data != next.Data)
	note("addresses.ready", e.Ready != next.Ready)
	note("addresses.peer", e.Peer != next.Peer)
	note("addresses.metrics", e.Metrics != next.Metrics)
	note("addresses.store", e.Store != next.Store)
	note("addresses.peer_listen", e.PeerListen != next.PeerListen)
	note("limits.grace_s", e.GracePeriod != next.GracePeriod)
	note("limits.recovery_ms", e.RecoveryTime != next.RecoveryTime)
	note("limits.drain_ms", e.DrainTime != next.DrainTime)
	note("limits.config_ms", e.ConfigTime != next.ConfigTime)
	note("limits.flow_life_s", e.FlowLifetime != next.FlowLifetime)
	return changed
}
