package tables

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// INIError reports a fault at one place of the operators' INI file.
type INIError struct {
	File, Section, Key, Value string
	// Expected describes what would be accepted.
	Expected string
}

// Error implements error.
func (e *INIError) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Section != "" {
		fmt.Fprintf(&b, ": section %q", e.Section)
	}
	if e.Key != "" {
		fmt.Fprintf(&b, ": key %q", e.Key)
	}
	if e.Value != "" {
		fmt.Fprintf(&b, ": value %q", e.Value)
	}
	fmt.Fprintf(&b, ": expected %s", e.Expected)
	return b.String()
}

// iniOptions keep duplicate sections and keys, so that they can be reported, and
// disable line continuation.
var iniOptions = ini.LoadOptions{
	IgnoreContinuation:         true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	AllowNonUniqueSections:     true,
	KeyValueDelimiters:         "=",
}

// ParseINI parses the operators' tables. The file name is used only in errors.
// The error joins one *INIError for each fault.
func ParseINI(file string, data []byte) (Desired, error) {
	f, err := ini.LoadSources(iniOptions, data)
	if err != nil {
		return Desired{}, &INIError{File: file, Expected: "INI syntax: " + err.Error()}
	}
	p := &iniParser{file: file, seenSections: make(map[string]bool)}
	for _, sec := range f.Sections() {
		p.parseSection(sec)
	}
	if err := errors.Join(p.errs...); err != nil {
		return Desired{}, err
	}
	p.desired.Sort()
	return p.desired, nil
}

// iniParser collects the tables and the faults of one file.
type iniParser struct {
	file         string
	seenSections map[string]bool // by kind and name, such as "pool p"
	desired      Desired
	errs         []error
}

// addError adds an *INIError. The expected text is a format for args.
func (p *iniParser) addError(section, key, value, expected string, args ...any) {
	p.errs = append(p.errs, &INIError{File: p.file, Section: section, Key: key, Value: value,
		Expected: fmt.Sprintf(expected, args...)})
}

func (p *iniParser) parseSection(sec *ini.Section) {
	title := sec.Name()
	if title == ini.DefaultSection {
		if keys := sec.Keys(); len(keys) > 0 {
			p.addError(title, keys[0].Name(), keys[0].Value(), "keys only in [route NAME] and [pool NAME]")
		}
		return
	}
	fields := strings.Fields(title)
	if len(fields) != 2 || (fields[0] != "route" && fields[0] != "pool") {
		p.addError(title, "", "", "[route NAME] or [pool NAME]")
		return
	}
	kind, name := fields[0], fields[1]
	if p.seenSections[kind+" "+name] {
		p.addError(title, "", "", "a single section for each %s", kind)
		return
	}
	p.seenSections[kind+" "+name] = true
	if kind == "route" {
		p.parseRoute(sec, name)
	} else {
		p.parsePool(sec, name)
	}
}

// uniqueKeys returns the keys that occur once in a section, and adds an error for
// each of the others.
func (p *iniParser) uniqueKeys(sec *ini.Section) []*ini.Key {
	var keys []*ini.Key
	for _, k := range sec.Keys() {
		if all := k.ValueWithShadows(); len(all) > 1 {
			p.addError(sec.Name(), k.Name(), all[1], "each key at most once")
			continue
		}
		keys = append(keys, k)
	}
	return keys
}

func (p *iniParser) parseRoute(sec *ini.Section, name string) {
	values := map[string]string{}
	for _, k := range p.uniqueKeys(sec) {
		switch k.Name() {
		case "address", "port", "protocol", "pool":
			values[k.Name()] = k.Value()
		default:
			p.addError(sec.Name(), k.Name(), k.Value(), "one of the keys address, port, protocol, pool")
		}
	}
	errorsBefore := len(p.errs)
	addr, err := netip.ParseAddr(values["address"])
	if err != nil {
		p.addError(sec.Name(), "address", values["address"], "an IP address")
	}
	port, err := strconv.ParseUint(values["port"], 10, 16)
	if err != nil || port == 0 {
		p.addError(sec.Name(), "port", values["port"], "a number from 1 to 65535")
	}
	protocol, err := ParseProtocol(values["protocol"])
	if err != nil {
		p.addError(sec.Name(), "protocol", values["protocol"], "tcp or udp")
	}
	if values["pool"] == "" {
		p.addError(sec.Name(), "pool", "", "the name of a pool")
	}
	if len(p.errs) == errorsBefore {
		a := Address{AddrPort: netip.AddrPortFrom(addr, uint16(port)), Protocol: protocol}
		p.desired.Routes = append(p.desired.Routes, Route{Name: name, Address: a, Pool: values["pool"]})
	}
}

// serverKeyPrefix precedes the name of a server in the keys of a pool section.
const serverKeyPrefix = "server."

func (p *iniParser) parsePool(sec *ini.Section, name string) {
	pool := Pool{Name: name}
	for _, k := range p.uniqueKeys(sec) {
		server, ok := strings.CutPrefix(k.Name(), serverKeyPrefix)
		if !ok || server == "" {
			p.addError(sec.Name(), k.Name(), k.Value(), "keys of the form server.NAME")
			continue
		}
		srv, value, expected := ParseServer(server, k.Value())
		if expected != "" {
			p.addError(sec.Name(), k.Name(), value, "%s", expected)
			continue
		}
		pool.Servers = append(pool.Servers, srv)
	}
	p.desired.Pools = append(p.desired.Pools, pool)
}

// ParseServer parses the settings of a server in the form of the INI file:
// ADDR:PORT zone=Z weight=N slots=N connections=N state=active|draining.
// If they are invalid, it returns the invalid part as value and a description of
// what was expected instead; otherwise expected is empty.
func ParseServer(name, settings string) (srv Server, value, expected string) {
	fields := strings.Fields(settings)
	if len(fields) == 0 {
		return Server{}, settings, "ADDR:PORT zone=ZONE"
	}
	endpoint, err := netip.ParseAddrPort(fields[0])
	if err != nil {
		return Server{}, fields[0], "ADDR:PORT"
	}
	srv = Server{Name: name, Endpoint: endpoint}.WithDefaults()
	seen := map[string]bool{}
	for _, field := range fields[1:] {
		key, v, _ := strings.Cut(field, "=")
		if seen[key] {
			return Server{}, field, "each setting at most once"
		}
		seen[key] = true
		if expected := srv.set(key, v); expected != "" {
			return Server{}, field, expected
		}
	}
	if srv.Zone == "" {
		return Server{}, settings, "zone=ZONE"
	}
	return srv, "", ""
}

// set parses and stores one setting. If the key or value is invalid, it returns
// a description of what was expected.
func (s *Server) set(key, value string) (expected string) {
	switch key {
	case "zone":
		s.Zone = value
		return ""
	case "weight":
		return setNumber(&s.Weight, key, value, MaxWeight)
	case "slots":
		return setNumber(&s.Slots, key, value, MaxSlots)
	case "connections":
		return setNumber(&s.Connections, key, value, MaxConnections)
	case "state":
		s.State = ServerState(value)
		if s.State != Active && s.State != Draining {
			return "state=active or state=draining"
		}
		return ""
	}
	return "zone=, weight=, slots=, connections= or state="
}

// setNumber parses a number from 1 to limit into dst. If the value is invalid, it
// returns a description of what was expected.
func setNumber(dst *uint32, key, value string, limit uint32) (expected string) {
	n, err := strconv.ParseUint(value, 10, 32)
	if err != nil || n == 0 || n > uint64(limit) {
		return fmt.Sprintf("%s=N with N from 1 to %d", key, limit)
	}
	*dst = uint32(n)
	return ""
}

// FormatINI returns the tables in the form that ParseINI accepts.
func FormatINI(d Desired) string {
	var b strings.Builder
	for _, r := range d.Routes {
		fmt.Fprintf(&b, "[route %s]\naddress = %s\nport = %d\nprotocol = %s\npool = %s\n\n",
			r.Name, r.Address.AddrPort.Addr(), r.Address.AddrPort.Port(), r.Address.Protocol, r.Pool)
	}
	for _, p := range d.Pools {
		fmt.Fprintf(&b, "[pool %s]\n", p.Name)
		for _, srv := range p.Servers {
			fmt.Fprintf(&b, "%s%s = %s\n", serverKeyPrefix, srv.Name, srv.Settings())
		}
		b.WriteByte('\n')
	}
	return b.String()
}
