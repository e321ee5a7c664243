package settings

import (
	"errors"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const complete = `
[vm]
name = entry-1
region = cartago
zone = cartago-norte
capacity = 200
[addresses]
data = 10.0.1.1:6081
control = 10.0.1.1:7400
metrics = 127.0.0.1:7480
fabrics = 10.0.0.1:6081, 10.0.0.2:6081
store = [2001:db8::9]:8500
seeds = 10.0.1.1:7400,10.0.1.2:7400
[tls]
ca = /etc/knapweedshore/ca.pem
cert = vm.pem
key = vm.key
[limits]
workers = 4
max_flows = 1000
new_flows_per_second = 100
exception_bytes_per_second = 4096
[log]
level = warn
`

func addr(s string) netip.AddrPort { return netip.MustParseAddrPort(s) }

// Guards against a key that is stored in the wrong field.
func TestParseCompleteFile(t *testing.T) {
	is := is.New(t)
	got, err := Parse("/opt/shore/vm.ini", []byte(complete))
	is.NoErr(err)
	is.Equal(*got, Settings{
		Name: "entry-1", Region: "cartago", Zone: "cartago-norte", Capacity: 200,
		Data: addr("10.0.1.1:6081"), Control: addr("10.0.1.1:7400"), Metrics: addr("127.0.0.1:7480"),
		Fabrics: []netip.AddrPort{addr("10.0.0.1:6081"), addr("10.0.0.2:6081")},
		Store:   addr("[2001:db8::9]:8500"),
		Seeds:   []netip.AddrPort{addr("10.0.1.2:7400")}, // without the VM's own address
		TLS:     TLS{CA: "/etc/knapweedshore/ca.pem", Cert: "/opt/shore/vm.pem", Key: "/opt/shore/vm.key"},
		Workers: 4, MaxFlows: 1000, NewFlowsPerSecond: 100, ExceptionBytesPerSecond: 4096, LogLevel: "warn",
	})
}

// Guards against a default value that its own key refuses, and against a daemon
// without workers.
func TestParseAppliesDefaults(t *testing.T) {
	is := is.New(t)
	var lines []string
	for line := range strings.Lines(complete) {
		name, _, _ := strings.Cut(line, " ")
		if k := findKey(name); k == nil || k.Required {
			lines = append(lines, line)
		}
	}
	got, err := Parse("vm.ini", []byte(strings.Join(lines, "")))
	is.NoErr(err)
	is.True(got.Workers > 0)
	is.Equal(got.ExceptionBytesPerSecond, 2048)
	is.Equal(got.LogLevel, "info")
	is.Equal(got.Metrics, addr("127.0.0.1:7480"))
	is.Equal(len(got.Seeds), 0)
}

func findKey(name string) *Key {
	for i, k := range keys {
		if k.Name == name {
			return &keys[i]
		}
	}
	return nil
}

// Guards against invalid settings that are accepted or reported at the wrong place.
// Each case changes one line of the complete file.
func TestParseRefuses(t *testing.T) {
	for _, c := range []struct {
		failure, from, to string
		want              Problem
	}{
		{"host name that needs DNS", "store = [2001:db8::9]:8500", "store = store.example:8500",
			Problem{Section: "addresses", Key: "store", Value: "store.example:8500"}},
		{"address without a port", "data = 10.0.1.1:6081", "data = 10.0.1.1",
			Problem{Section: "addresses", Key: "data", Value: "10.0.1.1"}},
		{"port 0, which no peer could dial", "control = 10.0.1.1:7400", "control = 10.0.1.1:0",
			Problem{Section: "addresses", Key: "control", Value: "10.0.1.1:0"}},
		{"unspecified address announced to peers", "data = 10.0.1.1:6081", "data = 0.0.0.0:6081",
			Problem{Section: "addresses", Key: "data", Value: "0.0.0.0:6081"}},
		{"no fabric, so that every packet is refused", "fabrics = 10.0.0.1:6081, 10.0.0.2:6081", "fabrics =",
			Problem{Section: "addresses", Key: "fabrics"}},
		{"fabric listed twice by mistake", "10.0.0.2:6081", "10.0.0.1:6081",
			Problem{Section: "addresses", Key: "fabrics", Value: "10.0.0.1:6081, 10.0.0.1:6081"}},
		{"address used for two purposes", "metrics = 127.0.0.1:7480", "metrics = 10.0.1.1:7400",
			Problem{Section: "addresses", Key: "metrics", Value: "10.0.1.1:7400"}},
		{"capacity 0, which owns no slots", "capacity = 200", "capacity = 0",
			Problem{Section: "vm", Key: "capacity", Value: "0"}},
		{"number with a unit", "max_flows = 1000", "max_flows = 1k",
			Problem{Section: "limits", Key: "max_flows", Value: "1k"}},
		{"number that overflows", "workers = 4", "workers = 99999999999999999999",
			Problem{Section: "limits", Key: "workers", Value: "99999999999999999999"}},
		{"name that cannot be in a certificate", "name = entry-1", "name = entry 1",
			Problem{Section: "vm", Key: "name", Value: "entry 1"}},
		{"misspelt level that hides warnings", "level = warn", "level = warning",
			Problem{Section: "log", Key: "level", Value: "warning"}},
		{"missing key", "zone = cartago-norte", "",
			Problem{Section: "vm", Key: "zone"}},
		{"misspelt key that leaves a default in force", "max_flows = 1000", "maxflows = 1000",
			Problem{Section: "limits", Key: "maxflows", Value: "1000"}},
		{"misspelt section that leaves defaults in force", "[limits]", "[limit]",
			Problem{Section: "limit"}},
		{"key given twice with different values", "level = warn", "level = warn\nlevel = info",
			Problem{Section: "log", Key: "level", Value: "warn and info"}},
		{"key given twice, once empty", "level = warn", "level = warn\nlevel =",
			Problem{Section: "log", Key: "level", Value: "warn and "}},
		{"section given twice", "[log]", "[vm]\nzone = cartago-sur\n[log]",
			Problem{Section: "vm"}},
		{"key before any section", "[vm]", "level = info\n[vm]",
			Problem{Key: "level", Value: "info"}},
		{"text that is no INI file", "[vm]", "[vm", Problem{}},
	} {
		t.Run(c.failure, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(complete, c.from, c.to, 1)
			is.True(text != complete) // the case changes the file
			got, err := Parse("vm.ini", []byte(text))
			is.True(got == nil)
			var invalid *InvalidError
			is.True(errors.As(err, &invalid))
			is.Equal(len(invalid.Problems), 1)
			p := invalid.Problems[0]
			is.True(p.Expected != "")
			c.want.File, c.want.Expected = "vm.ini", p.Expected
			is.Equal(p, c.want)
		})
	}
}

// Guards against reporting only the first problem of a file, and against an error
// without the file, section, key, value or expected form.
func TestParseReportsAllProblemsTogether(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer("capacity = 200", "capacity = big", "workers = 4", "threads = 4",
		"data = 10.0.1.1:6081", "data = entry:6081").Replace(complete)
	_, err := Parse("vm.ini", []byte(text))
	is.True(err != nil)
	lines := strings.Split(err.Error(), "\n")
	is.Equal(len(lines), 3)
	is.Equal(lines[1], `file "vm.ini", section "vm", key "capacity", value "big": want a whole number from 1 to 10000`)
}

// Guards against a missing file that is not reported, and against relative paths
// that are not resolved.
func TestLoad(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "vm.ini")
	_, err := Load(path)
	is.True(errors.Is(err, os.ErrNotExist))
	is.NoErr(os.WriteFile(path, []byte(complete), 0o600))
	s, err := Load(path)
	is.NoErr(err)
	is.Equal(s.TLS.Cert, filepath.Join(filepath.Dir(path), "vm.pem"))
}

// Guards against a panic on invalid input, and against incomplete settings for
// which no problem is reported.
func FuzzParse(f *testing.F) {
	f.Add([]byte(complete))
	f.Add([]byte("[vm]\nname = \"a\\\n\n[vm]\n-=1"))
	f.Add([]byte("[addresses]\nfabrics=,\nseeds=::1\n[DEFAULT]\nx=%(x)s"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("vm.ini", data)
		if err != nil {
			if s != nil || err.Error() == "" {
				t.Fatalf("settings with an error, or an empty error: %v, %q", s, err)
			}
			return
		}
		if s.Name == "" || !s.Data.IsValid() || !s.Control.IsValid() || len(s.Fabrics) == 0 || s.Workers < 1 || s.MaxFlows < 1 || s.TLS.Key == "" {
			t.Fatalf("incomplete settings %+v", s)
		}
	})
}
