package main

import (
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/settings"
	"knapweedshore.example/platform"
)

// platformValues holds values of the platform's fields by their names in the deploy
// template.
var platformValues = map[string]string{
	"node_name": "front-a-1", "region": "r", "zone": "a", "ip": "10.1.0.10",
	"listen_addrs.datagram_addr": "10.1.0.10:8172", "listen_addrs.ready": "10.1.0.10:8167",
	"internal_ports.0": "7720", "internal_ports.1": "7735", "platform.address": "10.200.1.7:8169",
	"seeds": "10.1.0.10:8166,10.2.0.40:8166", "bounds.grace_s": "7", "bounds.stable_ms": "4500",
	"bounds.drain_ms": "2500", "bounds.config_apply_ms": "2000", "bounds.flow_ttl_s": "50",
	"bounds.evacuate_ms": "1500",
}

// renderTemplate fills in the deploy template as the platform does.
func renderTemplate(t *testing.T, values map[string]string) string {
	t.Helper()
	template, err := os.ReadFile("../../deploy/entry.ini.tmpl")
	is.New(t).NoErr(err)
	text := regexp.MustCompile(`(?s)\{\{#([^}]*)\}\}(.*?)\{\{/[^}]*\}\}`).ReplaceAllStringFunc(string(template), func(section string) string {
		name, rest, _ := strings.Cut(strings.TrimPrefix(section, "{{#"), "}}")
		if values[name] == "" {
			return ""
		}
		return rest[:strings.LastIndex(rest, "{{/")]
	})
	return regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(text, func(field string) string {
		value, ok := values[strings.Trim(field, "{}")]
		if !ok {
			t.Errorf("template names %s", field)
		}
		return value
	})
}

// Guards against a deploy template that the daemon refuses because of an unknown
// key, a missing key or a malformed value.
func TestDeployTemplateGivesValidSettings(t *testing.T) {
	is := is.New(t)
	text := renderTemplate(t, platformValues)
	s, err := settings.ParseEntry("entry.ini", []byte(text))
	is.NoErr(err)
	is.Equal(s.Peer.String(), "10.1.0.10:7720")
	is.Equal(len(s.Seeds), 2)
	is.Equal([]time.Duration{s.GracePeriod, s.RecoveryTime, s.DrainTime, s.ConfigTime, s.FlowLifetime}, []time.Duration{
		7 * time.Second, 4500 * time.Millisecond, 2500 * time.Millisecond, 2 * time.Second, 50 * time.Second,
	})
	is.Equal(s.PeerListen, s.Peer)
	is.Equal(s.EvacuationTime, 1500*time.Millisecond)
	is.Equal(s.ReactionTime(), s.EvacuationTime) // the shortest bound
	is.True(s.ResetGoneFlows)
	is.True(s.AvoidFailingServers)

	// The platform gives no seeds and no bounds.
	minimal := maps.Clone(platformValues)
	minimal["seeds"] = ""
	maps.DeleteFunc(minimal, func(name, _ string) bool { return strings.HasPrefix(name, "bounds.") })
	s, err = settings.ParseEntry("entry.ini", []byte(renderTemplate(t, minimal)))
	is.NoErr(err)
	is.Equal(len(s.Seeds), 0)
	is.Equal(s.EvacuationTime, time.Duration(0))
	is.Equal(s.ReactionTime(), 3*time.Second) // as without the setting
}

// Guards against a daemon that starts with invalid settings, and against an error
// that does not name all problems.
func TestEntryChecksItsSettings(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "entry.ini")
	is.NoErr(os.WriteFile(path, []byte("[vm]\nname = ?\nregion = r\nzone = a\n[limits]\ngrace_s = -1\nrecovery_ms = x\nevacuate_ms = 0\nreset_gone_flows = 1\navoid_failing_servers = on\nadmission = 2\n"), 0o600))
	for _, args := range [][]string{{"entry", "--config", path}, {"check-config", "--entry", "--config", path}} {
		got := execute(args...)
		is.Equal(got.code, exitFailure)
		for _, part := range []string{`"name"`, `"grace_s"`, `"recovery_ms"`, `"evacuate_ms"`, `"reset_gone_flows"`, `"avoid_failing_servers"`, `"admission"`, `"data"`, `"store"`} {
			is.True(strings.Contains(got.err, part))
		}
	}
	t.Setenv(platform.SettingsEnv, path)
	is.Equal(execute("entry").code, exitFailure) // the environment names the file
	is.NoErr(os.WriteFile(path, []byte("[vm]\nname = n\nregion = r\nzone = a\n[addresses]\ndata = 10.0.0.1:1\n"+
		"ready = 10.0.0.1:2\npeer = 10.0.0.1:3\nstore = 10.0.0.1:4\n"), 0o600))
	is.Equal(execute("check-config", "--entry", "--config", path).code, exitOK)
}
