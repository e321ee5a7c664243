package main

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"knapweedshore.example/internal/configcheck"
)

const goodConfig = `{"version": 7,
 "routes": [
  {"name":"feed","host":"198.18.0.1","prefix":"/8443/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"dispatch","max_attempts":2},
  {"name":"hold","host":"198.18.0.1","prefix":"/8080/","kind":"unsafe","timeout_ms":2000,"target_latency_ms":400,"priority":1,"backends":[{"service":"dispatch","weight":90},{"service":"sheets","weight":10}]}
 ],
 "services": [
  {"name":"dispatch","health_path":"/health","max_connections":2000,"cold_start_s":2,"cold_per_s":0},
  {"name":"sheets","health_path":"/health","max_connections":2000,"cold_start_s":2,"cold_per_s":0}
 ],
 "limits": {"idle_timeout_ms": 15000}}`

// Guards against a mistake that is not found, or that is reported without the place where
// it stands.
func TestCheckFindsMistakes(t *testing.T) {
	for name, c := range map[string]struct {
		from, to string
		want     configcheck.Finding
	}{
		"two routes with one address": {"/8080/", "/8443/", configcheck.Finding{Severity: "error", Rule: "never_matches", Path: "routes[0]", Line: 3}},
		"two routes with one name":    {`"hold"`, `"feed"`, configcheck.Finding{Severity: "error", Rule: "duplicate_name", Path: "routes[1]", Line: 4}},
		"route without a pool":        {`"name":"sheets"`, `"name":"other"`, configcheck.Finding{Severity: "error", Rule: "unknown_pool", Path: "routes[1]", Line: 4}},
		"pool without a route":        {`"service":"sheets","weight":10`, `"service":"dispatch","weight":10`, configcheck.Finding{Severity: "warning", Rule: "unused", Path: "services[1]", Line: 8}},
		"share without flows":         {`"weight":10`, `"weight":0`, configcheck.Finding{Severity: "warning", Rule: "never_matches", Path: "routes[1]", Line: 4}},
		"negative weight":             {`"weight":10`, `"weight":-1`, configcheck.Finding{Severity: "error", Rule: "invalid_value", Path: "routes[1]", Line: 4}},
		"target above the timeout":    {`"target_latency_ms":300`, `"target_latency_ms":3000`, configcheck.Finding{Severity: "error", Rule: "contradiction", Path: "routes[0]", Line: 3}},
		"negative timeout":            {`"timeout_ms":2000,"target_latency_ms":300`, `"timeout_ms":-2000,"target_latency_ms":300`, configcheck.Finding{Severity: "error", Rule: "invalid_value", Path: "routes[0]", Line: 3}},
		"negative priority":           {`"priority":1`, `"priority":-1`, configcheck.Finding{Severity: "error", Rule: "invalid_value", Path: "routes[1].priority", Line: 4}},
		"idle time below a timeout":   {`15000`, `1000`, configcheck.Finding{Severity: "warning", Rule: "contradiction", Path: "routes[0]", Line: 3}},
		"host that is no address":     {`"name":"hold","host":"198.18.0.1"`, `"name":"hold","host":"example.org"`, configcheck.Finding{Severity: "error", Rule: "invalid_value", Path: "routes[1].host", Line: 4}},
		"port out of range":           {`/8080/`, `/80800/`, configcheck.Finding{Severity: "error", Rule: "invalid_value", Path: "routes[1].prefix", Line: 4}},
		"misspelled field":            {`"target_latency_ms":400`, `"target_latency":400`, configcheck.Finding{Severity: "warning", Rule: "unknown_field", Path: "routes[1]", Line: 4}},
		"limit that is no number":     {`15000`, `"15 s"`, configcheck.Finding{Severity: "error", Rule: "invalid_value", Path: "limits.idle_timeout_ms", Line: 10}},
		"negative cold limit":         {`"cold_start_s":2,"cold_per_s":0},`, `"cold_start_s":2,"cold_per_s":-1},`, configcheck.Finding{Severity: "error", Rule: "invalid_value", Path: "services[0].cold_per_s", Line: 7}},
		"cold limit without effect":   {`"cold_start_s":2,"cold_per_s":0},`, `"cold_start_s":0,"cold_per_s":5},`, configcheck.Finding{Severity: "warning", Rule: "contradiction", Path: "services[0].cold_per_s", Line: 7}},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEnv(t)
			if !strings.Contains(goodConfig, c.from) {
				t.Fatalf("%q is not in the configuration", c.from)
			}
			code := exitOK
			if c.want.Severity == configcheck.Error {
				code = exitInvalidTables
			}
			file, inForce := e.writeFile(strings.Replace(goodConfig, c.from, c.to, 1)), e.writeFile(`{"version":6}`)
			out, _ := e.ctl(code, "--output", "json", "check", "-f", file, "--against", inForce)
			var report checkReport
			if err := json.Unmarshal([]byte(out), &report); err != nil {
				t.Fatal(err)
			}
			var paths []string
			for _, f := range report.Findings {
				f.Message = ""
				if f == c.want {
					return
				}
				paths = append(paths, f.Path+" "+string(f.Rule))
			}
			t.Errorf("found %v, want %+v", paths, c.want)
		})
	}
}

// Guards against findings in a valid configuration, against differences that are missing
// or made up, and against a configuration that would be ignored as outdated.
func TestCheckComparesWithTheConfigurationInForce(t *testing.T) {
	is := is.New(t)
	e := newTestEnv(t)
	inForce := e.writeFile(goodConfig)
	next := strings.NewReplacer(`"version": 7`, `"version": 9`, `"timeout_ms":2000,"target_latency_ms":400`, `"timeout_ms":2500,"target_latency_ms":400`,
		`"name":"feed"`, `"name":"live"`, "15000", "20000").Replace(goodConfig)
	out, _ := e.ctl(exitOK, "check", "-f", e.writeFile(next), "--against", inForce)
	is.Equal(out, `removed route "feed": address=198.18.0.1:8443 kind=safe pools=dispatch:1 priority=2 target_latency=300ms timeout=2s
changed limit "idle_timeout_ms": value=15000 -> value=20000
changed route "hold": timeout=2s -> timeout=2.5s
added route "live" -> address=198.18.0.1:8443 kind=safe pools=dispatch:1 priority=2 target_latency=300ms timeout=2s
version 9: 0 errors, 0 warnings, 4 differences from version 7
`)
	out, _ = e.ctl(exitInvalidTables, "check", "-f", inForce, "--against", inForce)
	is.True(strings.Contains(out, "error: version: version 7 is not above version 7, which is in force [old_version]"))
}

// Guards against a file that is no configuration: it must be refused with its line, not
// end the command in another way.
func TestCheckRefusesUnreadableFiles(t *testing.T) {
	is := is.New(t)
	e := newTestEnv(t)
	inForce := e.writeFile(goodConfig)
	for _, text := range []string{"", "[]", "{\n\"routes\": 7}", "{\n\"version\": -1}", goodConfig[:200], `{"version":1}}`[:12]} {
		_, errOut := e.ctl(exitInvalidTables, "check", "-f", e.writeFile(text), "--against", inForce)
		is.True(strings.Contains(errOut, "line "))
	}
}
