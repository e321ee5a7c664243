package settings

import (
	"net/netip"
	"path/filepath"
)

// Key describes one key of the settings file.
type Key struct {
	Section, Name string
	// Default is used when the key is missing; Required keys have none.
	Default  string
	Required bool
	Meaning  string

	// set checks the value and stores it. It returns what was expected, or ""
	// if the value is good.
	set func(s *draft, value string) (expected string)
}

// draft is a Settings value in the making.
type draft struct {
	Settings
	entry Entry
	// dir is the directory that relative paths start from.
	dir string
}

// Keys returns every key of the settings file in the order of the reference.
func Keys() []Key { return keys }

var keys = []Key{
	{Section: "vm", Name: "name", Required: true,
		Meaning: "name of this VM, unique in its region; its certificate must name it",
		set:     func(s *draft, v string) string { return name(&s.Name, v) }},
	{Section: "vm", Name: "region", Required: true,
		Meaning: "region of this VM; only VMs of one region share flows",
		set:     func(s *draft, v string) string { return name(&s.Region, v) }},
	{Section: "vm", Name: "zone", Required: true,
		Meaning: "availability zone of this VM",
		set:     func(s *draft, v string) string { return name(&s.Zone, v) }},
	{Section: "vm", Name: "capacity", Default: "100",
		Meaning: "size of this VM relative to the others; its part of the flows follows it",
		set:     func(s *draft, v string) string { return number(&s.Capacity, v, 1, 10_000) }},

	{Section: "addresses", Name: "data", Required: true,
		Meaning: "UDP address for packets from the fabric and the other VMs",
		set:     func(s *draft, v string) string { return remoteAddress(&s.Data, v) }},
	{Section: "addresses", Name: "control", Required: true,
		Meaning: "TCP address for the other VMs and the operators' command",
		set:     func(s *draft, v string) string { return remoteAddress(&s.Control, v) }},
	{Section: "addresses", Name: "metrics", Default: "127.0.0.1:7480",
		Meaning: "TCP address where counters are served over HTTP at /debug/vars",
		set:     func(s *draft, v string) string { return address(&s.Metrics, v) }},
	{Section: "addresses", Name: "fabrics", Required: true,
		Meaning: "UDP addresses of the fabric, separated by commas; packets from elsewhere are refused",
		set:     func(s *draft, v string) string { return addresses(&s.Fabrics, v, 1) }},
	{Section: "addresses", Name: "store", Required: true,
		Meaning: "TCP address of the platform store, reached over HTTP",
		set:     func(s *draft, v string) string { return remoteAddress(&s.Store, v) }},
	{Section: "addresses", Name: "seeds", Default: "",
		Meaning: "control addresses of some VMs of the region, separated by commas; without any, the store's list of VMs is used",
		set:     func(s *draft, v string) string { return addresses(&s.Seeds, v, 0) }},

	{Section: "tls", Name: "ca", Required: true,
		Meaning: "file with the certificate of the private CA, PEM",
		set:     func(s *draft, v string) string { return s.file(&s.TLS.CA, v) }},
	{Section: "tls", Name: "cert", Required: true,
		Meaning: "file with the certificate of this VM, PEM",
		set:     func(s *draft, v string) string { return s.file(&s.TLS.Cert, v) }},
	{Section: "tls", Name: "key", Required: true,
		Meaning: "file with the private key of this VM, PEM",
		set:     func(s *draft, v string) string { return s.file(&s.TLS.Key, v) }},

	{Section: "limits", Name: "workers", Default: "0",
		Meaning: "goroutines that handle packets, each with its own socket; 0 is one for each core",
		set:     func(s *draft, v string) string { return workers(&s.Workers, v) }},
	{Section: "limits", Name: "max_flows", Default: "500000",
		Meaning: "open flows at most; further ones are refused",
		set:     func(s *draft, v string) string { return number(&s.MaxFlows, v, 1, 100_000_000) }},
	{Section: "limits", Name: "new_flows_per_second", Default: "20000",
		Meaning: "new flows a second at most; further ones are refused",
		set:     func(s *draft, v string) string { return number(&s.NewFlowsPerSecond, v, 1, 10_000_000) }},
	{Section: "limits", Name: "exception_bytes_per_second", Default: "2048",
		Meaning: "budget for making exceptions known to the backup; without it flows stay on their default servers",
		set:     func(s *draft, v string) string { return number(&s.ExceptionBytesPerSecond, v, 1, 100_000_000) }},

	{Section: "log", Name: "level", Default: "info",
		Meaning: "lowest level that is logged: debug, info, warn or error",
		set:     func(s *draft, v string) string { return level(&s.LogLevel, v) }},
}

// file stores a path; a relative one starts at the settings file's directory.
func (s *draft) file(to *string, v string) string {
	if v == "" {
		return "the path of a PEM file"
	}
	if !filepath.IsAbs(v) {
		v = filepath.Join(s.dir, v)
	}
	*to = v
	return ""
}

// withoutSelf returns the seeds other than this VM, so that all VMs can have
// the same line.
func withoutSelf(seeds []netip.AddrPort, control netip.AddrPort) []netip.AddrPort {
	var others []netip.AddrPort
	for _, s := range seeds {
		if s != control {
			others = append(others, s)
		}
	}
	return others
}
