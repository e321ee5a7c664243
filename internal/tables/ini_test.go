package tables

import (
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

const goodINI = `
# services of Quesada
[route despacho]
address = 192.0.2.1
port = 443
protocol = tcp
pool = despacho

[pool despacho]
server.d1 = 10.1.0.1:80 zone=cartago-norte weight=50 state=draining ; being replaced
server.d2 = [2001:db8::2]:80 zone=cartago-sur slots=4 connections=10
`

// Guards against a setting that is stored in the wrong field, and against a wrong
// default value.
func TestParseINI(t *testing.T) {
	is := is.New(t)
	d, err := ParseINI("t.ini", []byte(goodINI))
	is.NoErr(err)
	is.Equal(d.Routes, []Route{{Name: "despacho", Address: tcp("192.0.2.1:443"), Pool: "despacho"}})
	d1, d2 := server("d1", "10.1.0.1:80"), server("d2", "[2001:db8::2]:80")
	d1.Weight, d1.State = 50, Draining
	d2.Zone, d2.Slots, d2.Connections = "cartago-sur", 4, 10
	is.Equal(d.Pools, []Pool{{Name: "despacho", Servers: []Server{d1, d2}}})
	again, err := ParseINI("t.ini", []byte(FormatINI(d)))
	is.NoErr(err)
	is.Equal(again, d)
}

// Guards against a fault that is ignored, or reported without the section, key and
// value that contain it.
func TestParseINIRefuses(t *testing.T) {
	const route = "[route r]\naddress=192.0.2.1\nport=1\nprotocol=tcp\npool=p\n"
	for _, test := range []struct{ name, text, section, key, value string }{
		{"unknown section", "[server x]\n", "server x", "", ""},
		{"syntax", "[pool p\n", "", "", ""},
		{"no name", "[pool]\n", "pool", "", ""},
		{"duplicate section", "[pool p]\n[pool p]\n", "pool p", "", ""},
		{"key outside", "a = b\n", "DEFAULT", "a", "b"},
		{"unknown route key", route + "ports=2\n", "route r", "ports", "2"},
		{"duplicate key", route + "port=2\n", "route r", "port", "2"},
		{"same value twice", "[pool p]\nserver.a=10.0.0.1:1 zone=z\nserver.a=10.0.0.1:1 zone=z\n", "pool p", "server.a", "10.0.0.1:1 zone=z"},
		{"missing port", "[route r]\naddress=192.0.2.1\nprotocol=tcp\npool=p\n", "route r", "port", ""},
		{"port 0", "[route r]\naddress=192.0.2.1\nport=0\nprotocol=tcp\npool=p\n", "route r", "port", "0"},
		{"address", "[route r]\naddress=here\nport=1\nprotocol=tcp\npool=p\n", "route r", "address", "here"},
		{"protocol", "[route r]\naddress=192.0.2.1\nport=1\nprotocol=sctp\npool=p\n", "route r", "protocol", "sctp"},
		{"no pool", "[route r]\naddress=192.0.2.1\nport=1\nprotocol=tcp\n", "route r", "pool", ""},
		{"unknown pool key", "[pool p]\nzone=z\n", "pool p", "zone", "z"},
		{"endpoint", "[pool p]\nserver.a=10.0.0.1 zone=z\n", "pool p", "server.a", "10.0.0.1"},
		{"empty server", "[pool p]\nserver.a=\n", "pool p", "server.a", ""},
		{"no zone", "[pool p]\nserver.a=10.0.0.1:1\n", "pool p", "server.a", "10.0.0.1:1"},
		{"unknown setting", "[pool p]\nserver.a=10.0.0.1:1 zone=z speed=1\n", "pool p", "server.a", "speed=1"},
		{"setting twice", "[pool p]\nserver.a=10.0.0.1:1 zone=z zone=y\n", "pool p", "server.a", "zone=y"},
		{"weight 0", "[pool p]\nserver.a=10.0.0.1:1 zone=z weight=0\n", "pool p", "server.a", "weight=0"},
		{"slots over limit", "[pool p]\nserver.a=10.0.0.1:1 zone=z slots=100001\n", "pool p", "server.a", "slots=100001"},
		{"state", "[pool p]\nserver.a=10.0.0.1:1 zone=z state=off\n", "pool p", "server.a", "state=off"},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := ParseINI("t.ini", []byte(test.text))
			fault, ok := errors.Into[*INIError](err)
			is.True(ok)
			is.True(fault.Expected != "")
			fault.Expected = ""
			is.Equal(*fault, INIError{File: "t.ini", Section: test.section, Key: test.key, Value: test.value})
		})
	}
}
