package settings

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"strconv"
	"time"
)

// Entry holds the validated settings of an entry daemon, which receives packets
// from a carrier with cookies. It must not be modified.
type Entry struct {
	// Name is unique in the region.
	Name   string
	Region string
	Zone   string

	// Data is the UDP address that receives callers' packets. Ready is the TCP
	// address of the readiness check that the fabric calls.
	Data  netip.AddrPort
	Ready netip.AddrPort
	// Peer is the UDP and TCP address by which the other daemons reach this one.
	// All daemons use the same port.
	Peer netip.AddrPort
	// PeerListen is the UDP and TCP address to listen on for the other daemons. It
	// differs from Peer if addresses between the daemons are translated.
	PeerListen netip.AddrPort
	// Metrics is the TCP address where expvar is served over HTTP.
	Metrics netip.AddrPort
	// Store is the address of the platform's key-value service.
	Store netip.AddrPort
	// Seeds are addresses of VMs of the region for finding the first peers. Only
	// their IP addresses are used.
	Seeds []netip.AddrPort

	// GracePeriod is the time between SIGTERM and SIGKILL when the daemon is stopped.
	GracePeriod time.Duration
	// RecoveryTime is the maximum time until the directory is current again after a
	// failure of the network or the store has ended.
	RecoveryTime time.Duration
	// DrainTime is the maximum time until a draining server gets no more new flows,
	// ConfigTime the maximum time until a new configuration is in effect.
	DrainTime, ConfigTime time.Duration
	// EvacuationTime is the maximum time until the servers of an evacuated zone get no more
	// new flows; zero if the deployment sets no such bound.
	EvacuationTime time.Duration
	// FlowLifetime is the maximum lifetime of a flow.
	FlowLifetime time.Duration
	// ResetGoneFlows is set if open flows whose server is gone are reset.
	ResetGoneFlows bool
	// AvoidFailingServers is set if servers that fail far more requests than the others of
	// their pools get fewer new flows.
	AvoidFailingServers bool
	// Admission is set if new flows of less urgent routes are refused while their pools have
	// too little room.
	Admission bool
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

// LoadEntry reads and validates the settings file of an entry daemon. If the file
// can be read but is invalid, the error is an *InvalidError.
func LoadEntry(path string) (*Entry, error) {
	data, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return ParseEntry(path, data)
}

// ParseEntry parses and validates the content of an entry daemon's settings file.
// The path is used only in errors. The error is an *InvalidError with all problems
// of the file.
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

// ReactionTime returns the maximum time until any change in the store takes effect,
// which is the shortest one of DrainTime, ConfigTime and EvacuationTime.
func (e *Entry) ReactionTime() time.Duration {
	t := min(e.DrainTime, e.ConfigTime)
	if e.EvacuationTime > 0 {
		t = min(t, e.EvacuationTime)
	}
	return t
}

// EntryKeys returns all keys of the settings file of an entry daemon, in the order
// of the settings reference.
func EntryKeys() []Key { return entryKeys }

var entryKeys = []Key{
	{Section: "vm", Name: "name", Required: true,
		Meaning: "name of this VM, unique in its region",
		set:     func(s *draft, v string) string { return setName(&s.entry.Name, v) }},
	{Section: "vm", Name: "region", Required: true,
		Meaning: "region of this VM",
		set:     func(s *draft, v string) string { return setName(&s.entry.Region, v) }},
	{Section: "vm", Name: "zone", Required: true,
		Meaning: "availability zone of this VM",
		set:     func(s *draft, v string) string { return setName(&s.entry.Zone, v) }},

	{Section: "addresses", Name: "data", Required: true,
		Meaning: "UDP address for callers' packets",
		set:     func(s *draft, v string) string { return setRemoteAddress(&s.entry.Data, v) }},
	{Section: "addresses", Name: "ready", Required: true,
		Meaning: "TCP address of the HTTP readiness check, by which the fabric finds out whether the daemon accepts packets",
		set:     func(s *draft, v string) string { return setRemoteAddress(&s.entry.Ready, v) }},
	{Section: "addresses", Name: "peer", Required: true,
		Meaning: "UDP and TCP address by which the other daemons reach this one; the port must be the same on all VMs",
		set:     func(s *draft, v string) string { return setRemoteAddress(&s.entry.Peer, v) }},
	{Section: "addresses", Name: "peer_listen", Default: "",
		Meaning: "UDP and TCP address to listen on for the other daemons, if address translation makes it differ from peer; the default is the value of peer",
		set:     func(s *draft, v string) string { return setOptionalAddress(&s.entry.PeerListen, v) }},
	{Section: "addresses", Name: "metrics", Default: "127.0.0.1:7480",
		Meaning: "TCP address where counters are served over HTTP at /debug/vars",
		set:     func(s *draft, v string) string { return setAddress(&s.entry.Metrics, v) }},
	{Section: "addresses", Name: "store", Required: true,
		Meaning: "TCP address of the platform store, reached over HTTP",
		set:     func(s *draft, v string) string { return setRemoteAddress(&s.entry.Store, v) }},
	{Section: "addresses", Name: "seeds", Default: "",
		Meaning: "addresses of some VMs of the region, separated by commas, for finding the first peers; their ports are ignored",
		set:     func(s *draft, v string) string { return setAddresses(&s.entry.Seeds, v, 0) }},

	{Section: "limits", Name: "grace_s", Default: "6",
		Meaning: "seconds between SIGTERM and SIGKILL",
		set:     func(s *draft, v string) string { return setUnits(&s.entry.GracePeriod, v, time.Second, maxGracePeriod) }},

	{Section: "limits", Name: "recovery_ms", Default: "4000",
		Meaning: "maximum milliseconds after a failure of the network or the store ends until the daemon has the current directory again",
		set:     func(s *draft, v string) string { return setUnits(&s.entry.RecoveryTime, v, time.Millisecond, maxDelay) }},

	{Section: "limits", Name: "drain_ms", Default: "3000",
		Meaning: "maximum milliseconds until a draining server gets no more new flows",
		set:     func(s *draft, v string) string { return setUnits(&s.entry.DrainTime, v, time.Millisecond, maxDelay) }},
	{Section: "limits", Name: "config_ms", Default: "3000",
		Meaning: "maximum milliseconds until a new configuration is in effect",
		set:     func(s *draft, v string) string { return setUnits(&s.entry.ConfigTime, v, time.Millisecond, maxDelay) }},
	{Section: "limits", Name: "evacuate_ms", Default: "",
		Meaning: "maximum milliseconds until the servers of an evacuated zone get no more new flows; the default is the shorter one of drain_ms and config_ms",
		set: func(s *draft, v string) string {
			return setOptionalUnits(&s.entry.EvacuationTime, v, time.Millisecond, maxDelay)
		}},
	{Section: "limits", Name: "flow_life_s", Default: "60",
		Meaning: "maximum lifetime of a flow in seconds; packets of existing flows reach a removed server for this long",
		set:     func(s *draft, v string) string { return setUnits(&s.entry.FlowLifetime, v, time.Second, maxLifetime) }},
	{Section: "limits", Name: "reset_gone_flows", Default: "no",
		Meaning: "yes or no: whether callers with several requests on a flow get a reset when the flow's server is gone",
		set:     func(s *draft, v string) string { return setYesNo(&s.entry.ResetGoneFlows, v) }},
	{Section: "limits", Name: "avoid_failing_servers", Default: "no",
		Meaning: "yes or no: whether servers that fail far more requests than the others of their pools get fewer new flows",
		set:     func(s *draft, v string) string { return setYesNo(&s.entry.AvoidFailingServers, v) }},
	{Section: "limits", Name: "admission", Default: "no",
		Meaning: "yes or no: whether new flows of less urgent routes are refused while their pools are asked for more than twice what their servers can do",
		set:     func(s *draft, v string) string { return setYesNo(&s.entry.Admission, v) }},

	{Section: "log", Name: "level", Default: "info",
		Meaning: "lowest level that is logged: debug, info, warn or error",
		set:     func(s *draft, v string) string { return setLogLevel(&s.entry.LogLevel, v) }},
}

// Upper limits of durations in the settings.
const (
	// maxGracePeriod is the longest stop timeout that service managers allow.
	maxGracePeriod = time.Hour
	// maxDelay limits RecoveryTime, DrainTime, ConfigTime and EvacuationTime. The store does not
	// allow a watch to stay silent for longer.
	maxDelay = 40 * time.Second
	// maxLifetime limits FlowLifetime.
	maxLifetime = 24 * time.Hour
)

// setUnits parses a positive number of units of time, which may have a fraction, and
// stores the duration in *dst. If v is not such a number, or the duration exceeds
// limit, it returns a description of what was expected.
func setUnits(dst *time.Duration, v string, unit, limit time.Duration) string {
	n, err := strconv.ParseFloat(v, 64)
	maxUnits := float64(limit) / float64(unit)
	if err != nil || !(n > 0 && n <= maxUnits) {
		return fmt.Sprintf("a number above 0 and up to %.0f", maxUnits)
	}
	*dst = time.Duration(n * float64(unit))
	return ""
}

// setOptionalUnits is setUnits for a value that may be empty, which leaves *dst as it is.
func setOptionalUnits(dst *time.Duration, v string, unit, limit time.Duration) string {
	if v == "" {
		return ""
	}
	return setUnits(dst, v, unit, limit)
}

// RestartKeys returns the names of the keys whose values differ in next and take
// effect only after a restart of the daemon.
func (e *Entry) RestartKeys(next *Entry) []string {
	changed := []string{}
	addIf := func(key string, differs bool) {
		if differs {
			changed = append(changed, key)
		}
	}
	addIf("vm.name", e.Name != next.Name)
	addIf("vm.region", e.Region != next.Region)
	addIf("vm.zone", e.Zone != next.Zone)
	addIf("addresses.data", e.Data != next.Data)
	addIf("addresses.ready", e.Ready != next.Ready)
	addIf("addresses.peer", e.Peer != next.Peer)
	addIf("addresses.metrics", e.Metrics != next.Metrics)
	addIf("addresses.store", e.Store != next.Store)
	addIf("addresses.peer_listen", e.PeerListen != next.PeerListen)
	addIf("limits.grace_s", e.GracePeriod != next.GracePeriod)
	addIf("limits.recovery_ms", e.RecoveryTime != next.RecoveryTime)
	addIf("limits.drain_ms", e.DrainTime != next.DrainTime)
	addIf("limits.config_ms", e.ConfigTime != next.ConfigTime)
	addIf("limits.evacuate_ms", e.EvacuationTime != next.EvacuationTime)
	addIf("limits.reset_gone_flows", e.ResetGoneFlows != next.ResetGoneFlows)
	addIf("limits.avoid_failing_servers", e.AvoidFailingServers != next.AvoidFailingServers)
	addIf("limits.admission", e.Admission != next.Admission)
	addIf("limits.flow_life_s", e.FlowLifetime != next.FlowLifetime)
	return changed
}
