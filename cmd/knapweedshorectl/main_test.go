package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"knapweedshore.example/internal/tables"
	standin "knapweedshore.example/standin/store"
)

// testEnv is a platform store on loopback, and runs command lines against it.
type testEnv struct {
	*testing.T
	platform *standin.Platform
	url      string
}

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	p := standin.New(standin.Options{})
	server, err := p.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	return &testEnv{T: t, platform: p, url: server.URL()}
}

// ctl runs one command line. It fails the test if the exit code is not code.
func (e *testEnv) ctl(code int, args ...string) (out, errOut string) {
	e.Helper()
	var stdout, stderr bytes.Buffer
	got := run(e.Context(), append([]string{"knapweedshorectl", "--store", e.url, "--author", "ana"}, args...), &stdout, &stderr)
	if got != code {
		e.Fatalf("%v: exit code %d, want %d; output %s%s", args, got, code, stdout.String(), stderr.String())
	}
	return stdout.String(), stderr.String()
}

func (e *testEnv) writeFile(text string) string {
	e.Helper()
	name := filepath.Join(e.TempDir(), "tables.ini")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		e.Fatal(err)
	}
	return name
}

const mapasINI = `[route mapas]
address = 192.0.2.2
port = 443
protocol = tcp
pool = mapas

[pool mapas]
server.m1 = 10.2.0.1:80 zone=cartago-sur weight=50 slots=2 connections=2000 state=active
server.m2 = 10.2.0.2:80 zone=cartago-norte weight=100 slots=2 connections=2000 state=draining
`

// Guards against commands that write something other than they report, and against
// a dry run that writes.
func TestEditingCommands(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	out, _ := env.ctl(exitOK, "apply", "--dry-run", "-f", env.writeFile(mapasINI))
	is.True(strings.Contains(out, `+ route "mapas" address=192.0.2.2:443/tcp pool=mapas`))
	is.True(strings.Contains(out, "nothing was written"))
	out, _ = env.ctl(exitOK, "-o", "json", "route", "list")
	is.Equal(out, "[]\n")

	env.ctl(exitOK, "apply", "-f", env.writeFile(mapasINI))
	out, _ = env.ctl(exitOK, "route", "show", "mapas")
	is.True(strings.HasPrefix(mapasINI, out))
	out, _ = env.ctl(exitOK, "apply", "-f", env.writeFile(mapasINI))
	is.Equal(out, "no difference to version 1\n")

	out, _ = env.ctl(exitOK, "pool", "drain", "mapas", "m1")
	is.True(strings.Contains(out, "state=active -> 10.2.0.1:80 zone=cartago-sur weight=50 slots=2 connections=2000 state=draining"))
	env.ctl(exitOK, "pool", "undrain", "mapas", "m1", "m2")
	env.ctl(exitOK, "pool", "set", "mapas", "--server", "m3=10.2.0.3:80 zone=cartago-sur", "--server", "m1=10.2.0.1:80 zone=cartago-sur")
	env.ctl(exitOK, "pool", "delete", "mapas", "m2")
	env.ctl(exitOK, "pool", "set", "empty")
	env.ctl(exitOK, "route", "set", "mapas", "--port", "8443")

	out, _ = env.ctl(exitOK, "-o", "json", "pool", "show", "mapas")
	var pool tables.Pool
	is.NoErr(json.Unmarshal([]byte(out), &pool))
	is.Equal(len(pool.Servers), 2)
	is.Equal(pool.Servers[0].Name, "m1")
	is.Equal(pool.Servers[0].Weight, uint32(tables.DefaultWeight))
	is.Equal(pool.Servers[0].State, tables.Active)
	out, _ = env.ctl(exitOK, "route", "list")
	is.True(strings.Contains(out, "192.0.2.2:8443/tcp"))
	out, _ = env.ctl(exitOK, "pool", "list")
	is.Equal(strings.Fields(out)[4:], []string{"empty", "0", "0", "0", "mapas", "2", "0", "1"})

	env.ctl(exitOK, "route", "delete", "mapas")
	env.ctl(exitOK, "pool", "delete", "mapas")
	out, _ = env.ctl(exitOK, "-o", "json", "history", "--limit", "1")
	var entries []historyEntry
	is.NoErr(json.Unmarshal([]byte(out), &entries))
	is.Equal(len(entries), 1)
	is.Equal(entries[0].Version, tables.Version(9))
	is.Equal(entries[0].Author, "ana")
	is.Equal(entries[0].Changes, []string{`delete pool "mapas"`})
	env.ctl(exitOK, "history", "--write", string(entries[0].WriteID))
	env.ctl(exitFailure, "history", "--write", "none")
	env.ctl(exitFailure, "recover", "--above", "8")
	out, _ = env.ctl(exitOK, "recover", "--above", "20")
	is.True(strings.Contains(out, "version 21, write "))
}

// Guards against an exit code that misleads scripts, and against an invalid command
// line that is accepted.
func TestExitCodes(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.ctl(exitOK, "apply", "-f", env.writeFile(mapasINI))
	for _, args := range [][]string{
		{}, {"none"}, {"route"}, {"route", "none"}, {"route", "list", "extra"}, {"route", "show"},
		{"route", "list", "--none"}, {"-o", "xml", "route", "list"}, {"apply"}, {"--timeout", "0s", "route", "list"},
		{"route", "set", "mapas", "--address", "here"}, {"route", "set", "mapas", "--port", "65536"},
		{"route", "set", "mapas", "--protocol", "sctp"}, {"route", "set", "new", "--port", "1"},
		{"pool", "set", "mapas", "--server", "m1"}, {"pool", "set", "mapas", "--server", "m1=10.2.0.1:80 zone=z speed=1"},
		{"pool", "drain", "mapas"}, {"history", "--limit", "0"}, {"--store", "ftp://x", "route", "list"},
	} {
		_, errOut := env.ctl(exitUsage, args...)
		is.True(strings.HasPrefix(errOut, "knapweedshorectl: "))
	}
	env.ctl(exitFailure, "apply", "-f", filepath.Join(t.TempDir(), "none.ini"))
	_, errOut := env.ctl(exitInvalidTables, "apply", "-f", env.writeFile("[pool p]\nname = x\n"))
	is.True(strings.Contains(errOut, `section "pool p": key "name": value "x"`))
	env.ctl(exitInvalidTables, "pool", "delete", "mapas")
	env.ctl(exitInvalidTables, "pool", "drain", "mapas", "none")
	env.ctl(exitInvalidTables, "route", "show", "none")
	_, errOut = env.ctl(exitInvalidTables, "route", "set", "other", "--address", "10.2.0.1", "--port", "80", "--pool", "mapas")
	is.True(strings.Contains(errOut, `endpoint_is_route_address`))
	env.ctl(exitOK, "pool", "delete", "mapas", "m2")
	_, errOut = env.ctl(exitInvalidTables, "pool", "set", "other", "--server", "x=10.2.0.2:80 zone=cartago-sur")
	is.True(strings.Contains(errOut, "is reserved for another 3h0m0s") || strings.Contains(errOut, "is reserved for another 2h59m59s"))

	env.platform.LoseAnswers(1)
	env.ctl(exitOK, "pool", "set", "resolved")
	env.platform.LoseRequests(1000)
	_, errOut = env.ctl(exitOutcomeUnknown, "--timeout", "2s", "pool", "set", "lost")
	is.True(strings.Contains(errOut, "outcome unknown"))
	env.platform.LoseRequests(0)
	env.platform.SetDown(true)
	env.ctl(exitUnavailable, "--timeout", "500ms", "pool", "set", "unavailable")
}

// Guards against help without examples, and against a completion that suggests
// nothing or something other than the names in the tables.
func TestHelpAndCompletion(t *testing.T) {
	is := is.New(t)
	env := newTestEnv(t)
	env.ctl(exitOK, "apply", "-f", env.writeFile(mapasINI))
	for _, args := range [][]string{{"--help"}, {"route", "set", "--help"}, {"pool", "set", "--help"}, {"pool", "drain", "--help"},
		{"apply", "--help"}, {"history", "--help"}, {"status", "--help"}} {
		out, _ := env.ctl(exitOK, args...)
		is.True(strings.Contains(out, "Example"))
	}
	out, _ := env.ctl(exitOK, "--help")
	is.True(strings.Contains(out, "6  the outcome is unknown"))
	out, _ = env.ctl(exitOK, "completion", "bash")
	is.True(strings.Contains(out, "complete"))
	for want, args := range map[string][]string{
		"mapas\n":  {"route", "show"},
		"m1\nm2\n": {"pool", "drain", "mapas"},
	} {
		out, _ = env.ctl(exitOK, append(args, "--generate-shell-completion")...)
		is.Equal(out, want)
	}
}
