package settings

import (
	"net/netip"
	"path/filepath"
)

// Key describes one key of the settings file.
type Key struct {
	Section, Name string
	// Default is the value of a key that is missing from the file. It is empty for
	// a Required key.
	Default  string
	Required bool
	// Meaning describes the key in the settings reference.
	Meaning string

	// set validates and stores the value. If the value is invalid, it returns a
	// description of what was expected, otherwise "".
	set func(s *draft, value string) (expected string)
}

// draft holds the settings while a file is parsed: the embedded Settings for Keys,
// and entry for EntryKeys.
type draft struct {
	Settings
	entry Entry
	// dir is the directory to which relative paths refer.
	dir string
}

// Keys returns all keys of the settings file, in the order of the settings
// reference.
func Keys() []Key { return keys }

var keys = []Key{
	{Section: "vm", Name: "name", Required: true,
		Meaning: "name of this VM, unique in its region; its certificate must contain this name",
		set:     func(s *draft, v string) string { return setName(&s.Name, v) }},
	{Section: "vm", Name: "region", Required: true,
		Meaning: "region of this VM; only VMs of one region share flows",
		set:     func(s *draft, v string) string { return setName(&s.Region, v) }},
	{Section: "vm", Name: "zone", Required: true,
		Meaning: "availability zone of this VM",
		set:     func(s *draft, v string) string { return setName(&s.Zone, v) }},
	{Section: "vm", Name: "capacity", Default: "100",
		Meaning: "capacity of this VM relative to the others, which determines its share of the flows",
		set:     func(s *draft, v string) string { return setNumber(&s.Capacity, v, 1, 10_000) }},

	{Section: "addresses", Name: "data", Required: true,
		Meaning: "UDP address for packets from the fabric and the other VMs",
		set:     func(s *draft, v string) string { return setRemoteAddress(&s.Data, v) }},
	{Section: "addresses", Name: "control", Required: true,
		Meaning: "TCP address for the other VMs and the operators' command",
		set:     func(s *draft, v string) string { return setRemoteAddress(&s.Control, v) }},
	{Section: "addresses", Name: "metrics", Default: "127.0.0.1:7480",
		Meaning: "TCP address where counters are served over HTTP at /debug/vars",
		set:     func(s *draft, v string) string { return setAddress(&s.Metrics, v) }},
	{Section: "addresses", Name: "fabrics", Required: true,
		Meaning: "UDP addresses of the fabric, separated by commas; packets from elsewhere are refused",
		set:     func(s *draft, v string) string { return setAddresses(&s.Fabrics, v, 1) }},
	{Section: "addresses", Name: "store", Required: true,
		Meaning: "TCP address of the platform store, reached over HTTP",
		set:     func(s *draft, v string) string { return setRemoteAddress(&s.Store, v) }},
	{Section: "addresses", Name: "seeds", Default: "",
		Meaning: "control addresses of some VMs of the region, separated by commas; if empty, the list of VMs in the store is used",
		set:     func(s *draft, v string) string { return setAddresses(&s.Seeds, v, 0) }},

	{Section: "tls", Name: "ca", Required: true,
		Meaning: "file with the certificate of the private CA, PEM",
		set:     func(s *draft, v string) string { return s.resolvePath(&s.TLS.CA, v) }},
	{Section: "tls", Name: "cert", Required: true,
		Meaning: "file with the certificate of this VM, PEM",
		set:     func(s *draft, v string) string { return s.resolvePath(&s.TLS.Cert, v) }},
	{Section: "tls", Name: "key", Required: true,
		Meaning: "file with the private key of this VM, PEM",
		set:     func(s *draft, v string) string { return s.resolvePath(&s.TLS.Key, v) }},

	{Section: "limits", Name: "workers", Default: "0",
		Meaning: "number of goroutines that handle packets, each with its own socket; 0 means one for each core",
		set:     func(s *draft, v string) string { return setWorkers(&s.Workers, v) }},
	{Section: "limits", Name: "max_flows", Default: "500000",
		Meaning: "maximum number of open flows; further flows are refused",
		set:     func(s *draft, v string) string { return setNumber(&s.MaxFlows, v, 1, 100_000_000) }},
	{Section: "limits", Name: "new_flows_per_second", Default: "20000",
		Meaning: "maximum number of new flows per second; further flows are refused",
		set:     func(s *draft, v string) string { return setNumber(&s.NewFlowsPerSecond, v, 1, 10_000_000) }},
	{Section: "limits", Name: "exception_bytes_per_second", Default: "2048",
		Meaning: "maximum bytes per second for sending exceptions to the backup; beyond it, flows stay on their default servers",
		set:     func(s *draft, v string) string { return setNumber(&s.ExceptionBytesPerSecond, v, 1, 100_000_000) }},

	{Section: "log", Name: "level", Default: "info",
		Meaning: "lowest level that is logged: debug, info, warn or error",
		set:     func(s *draft, v string) string { return setLogLevel(&s.LogLevel, v) }},
}

// resolvePath stores the path of a PEM file in *dst. A relative path refers to the
// directory of the settings file.
func (s *draft) resolvePath(dst *string, v string) string {
	if v == "" {
		return "the path of a PEM file"
	}
	if !filepath.IsAbs(v) {
		v = filepath.Join(s.dir, v)
	}
	*dst = v
	return ""
}

// withoutSelf returns the seeds without this VM's own control address, so that all
// VMs can have the same list of seeds.
func withoutSelf(seeds []netip.AddrPort, control netip.AddrPort) []netip.AddrPort {
	var others []netip.AddrPort
	for _, s := range seeds {
		if s != control {
			others = append(others, s)
		}
	}
	return others
}
