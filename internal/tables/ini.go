package tables

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"gopkg.in/ini.v1"
)

// INIError says what is wrong at one place of an operator's tables.
type INIError struct {
	File, Section, Key, Value string
	// Expected says what would be accepted.
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

// iniOptions keep every section and key, so that duplicates are found, and
// take values as they stand.
var iniOptions = ini.LoadOptions{
	IgnoreContinuation:         true,
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	AllowNonUniqueSections:     true,
	KeyValueDelimiters:         "=",
}

// ParseINI reads operators' tables. The file name is only for errors. The
// error joins an *INIError for each fault.
func ParseINI(file string, data []byte) (Desired, error) {
	f, err := ini.LoadSources(iniOptions, data)
	if err != nil {
		return Desired{}, &INIError{File: file, Expected: "INI syntax: " + err.Error()}
	}
	p := &iniParser{file: file, seen: make(map[string]bool)}
	for _, sec := range f.Sections() {
		p.section(sec)
	}
	if err := errors.Join(p.errs...); err != nil {
		return Desired{}, err
	}
	p.out.Sort()
	return p.out, nil
}

type iniParser struct {
	file string
	seen map[string]bool
	out  Desired
	errs []error
}

func (p *iniParser) fail(section, key, value, expected string, args ...any) {
	p.errs = append(p.errs, &INIError{File: p.file, Section: section, Key: key, Value: value,
		Expected: fmt.Sprintf(expected, args...)})
}

func (p *iniParser) section(sec *ini.Section) {
	title := sec.Name()
	if title == ini.DefaultSection {
		if keys := sec.Keys(); len(keys) > 0 {
			p.fail(title, keys[0].Name(), keys[0].Value(), "keys only in [route NAME] and [pool NAME]")
		}
		return
	}
	words := strings.Fields(title)
	if len(words) != 2 || (words[0] != "route" && words[0] != "pool") {
		p.fail(title, "", "", "[route NAME] or [pool NAME]")
		return
	}
	kind, name := words[0], words[1]
	if p.seen[kind+" "+name] {
		p.fail(title, "", "", "one section for each %s", kind)
		return
	}
	p.seen[kind+" "+name] = true
	if kind == "route" {
		p.route(sec, name)
	} else {
		p.pool(sec, name)
	}
}

// values returns the keys and values of a section without duplicates.
func (p *iniParser) values(sec *ini.Section) []*ini.Key {
	var keys []*ini.Key
	for _, k := range sec.Keys() {
		if all := k.ValueWithShadows(); len(all) > 1 {
			p.fail(sec.Name(), k.Name(), all[1], "each key once")
			continue
		}
		keys = append(keys, k)
	}
	return keys
}

func (p *iniParser) route(sec *ini.Section, name string) {
	text := map[string]string{}
	for _, k := range p.values(sec) {
		switch k.Name() {
		case "address", "port", "protocol", "pool":
			text[k.Name()] = k.Value()
		default:
			p.fail(sec.Name(), k.Name(), k.Value(), "one of the keys address, port, protocol, pool")
		}
	}
	before := len(p.errs)
	addr, err := netip.ParseAddr(text["address"])
	if err != nil {
		p.fail(sec.Name(), "address", text["address"], "an IP address")
	}
	port, err := strconv.ParseUint(text["port"], 10, 16)
	if err != nil || port == 0 {
		p.fail(sec.Name(), "port", text["port"], "a number from 1 to 65535")
	}
	protocol, err := ParseProtocol(text["protocol"])
	if err != nil {
		p.fail(sec.Name(), "protocol", text["protocol"], "tcp or udp")
	}
	if text["pool"] == "" {
		p.fail(sec.Name(), "pool", "", "the name of a pool")
	}
	if len(p.errs) == before {
		a := Address{AddrPort: netip.AddrPortFrom(addr, uint16(port)), Protocol: protocol}
		p.out.Routes = append(p.out.Routes, Route{Name: name, Address: a, Pool: text["pool"]})
	}
}

const serverKeyPrefix = "server."

func (p *iniParser) pool(sec *ini.Section, name string) {
	pool := Pool{Name: name}
	for _, k := range p.values(sec) {
		server, ok := strings.CutPrefix(k.Name(), serverKeyPrefix)
		if !ok || server == "" {
			p.fail(sec.Name(), k.Name(), k.Value(), "keys of the form server.NAME")
			continue
		}
		srv, value, expected := ParseServer(server, k.Value())
		if expected != "" {
			p.fail(sec.Name(), k.Name(), value, "%s", expected)
			continue
		}
		pool.Servers = append(pool.Servers, srv)
	}
	p.out.Pools = append(p.out.Pools, pool)
}

// ParseServer reads the settings of a server in the form of the INI tables:
// ADDR:PORT zone=Z weight=N slots=N connections=N state=active|draining. On a
// fault it returns the faulty part and what was expected instead.
func ParseServer(name, settings string) (srv Server, value, expected string) {
	words := strings.Fields(settings)
	if len(words) == 0 {
		return Server{}, settings, "ADDR:PORT zone=ZONE"
	}
	endpoint, err := netip.ParseAddrPort(words[0])
	if err != nil {
		return Server{}, words[0], "ADDR:PORT"
	}
	srv = Server{Name: name, Endpoint: endpoint}.WithDefaults()
	seen := map[string]bool{}
	for _, word := range words[1:] {
		key, v, _ := strings.Cut(word, "=")
		if seen[key] {
			return Server{}, word, "each setting once"
		}
		seen[key] = true
		if expected := srv.set(key, v); expected != "" {
			return Server{}, word, expected
		}
	}
	if srv.Zone == "" {
		return Server{}, settings, "zone=ZONE"
	}
	return srv, "", ""
}

// set changes one setting, or returns what was expected.
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

func setNumber(to *uint32, key, value string, limit uint32) (expected string) {
	n, err := strconv.ParseUint(value, 10, 32)
	if err != nil || n == 0 || n > uint64(limit) {
		return fmt.Sprintf("%s= a number from 1 to %d", key, limit)
	}
	*to = uint32(n)
	return ""
}

// FormatINI returns the tables in the form that ParseINI reads.
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
