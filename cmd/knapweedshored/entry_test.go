package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"knapweedshore.example/internal/settings"
	"knapweedshore.example/platform"
)

// platformValues are values of the platform's fields, as the deploy template
// names them.
var platformValues = map[string]string{
	"node_name": "front-a-1", "region": "r", "zone": "a", "ip": "10.1.0.10",
	"listen_addrs.datagram_addr": "10.1.0.10:8172", "listen_addrs.ready": "10.1.0.10:8167",
	"internal_ports.0": "7720", "internal_ports.1": "7735", "platform.address": "10.200.1.7:8169",
	"seeds": "10.1.0.10:8166,10.2.0.40:8166", "bounds.grace_s": "6", "bounds.stable_ms": "4000",
}

// Guards against a deploy template that the daemon refuses: a key that it does
// not know, a missing one, or a value in the wrong form.
func TestDeployTemplateGivesValidSettings(t *testing.T) {
	is := is.New(t)
	template, err := os.ReadFile("../../deploy/entry.ini.tmpl")
	is.NoErr(err)
	text := regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(string(template), func(field string) string {
		value, ok := platformValues[strings.Trim(field, "{}")]
		if !ok {
			t.Errorf("template names %s", field)
		}
		return value
	})
	s, err := settings.ParseEntry("entry.ini", []byte(text))
	is.NoErr(err)
	is.Equal(s.Peer.String(), "10.1.0.10:7720")
	is.Equal(len(s.Seeds), 2)
	is.Equal(s.Recovery.Milliseconds(), int64(4000))

	empty := strings.Replace(text, platformValues["seeds"], "", 1)
	s, err = settings.ParseEntry("entry.ini", []byte(empty))
	is.NoErr(err)
	is.Equal(len(s.Seeds), 0)
}

// Guards against a faulty file that starts a daemon, and against an error that
// does not name all faults.
func TestEntryChecksItsSettings(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "entry.ini")
	is.NoErr(os.WriteFile(path, []byte("[vm]\nname = ?\nregion = r\nzone = a\n[limits]\ngrace_s = -1\nrecovery_ms = x\n"), 0o600))
	for _, args := range [][]string{{"entry", "--config", path}, {"check-config", "--entry", "--config", path}} {
		got := execute(args...)
		is.Equal(got.code, exitFailure)
		for _, part := range []string{`"name"`, `"grace_s"`, `"recovery_ms"`, `"data"`, `"store"`} {
			is.True(strings.Contains(got.err, part))
		}
	}
	t.Setenv(platform.SettingsEnv, path)
	is.Equal(execute("entry").code, exitFailure) // the file is found
	is.NoErr(os.WriteFile(path, []byte("[vm]\nname = n\nregion = r\nzone = a\n[addresses]\ndata = 10.0.0.1:1\n"+
		"ready = 10.0.0.1:2\npeer = 10.0.0.1:3\nstore = 10.0.0.1:4\n"), 0o600))
	is.Equal(execute("check-config", "--entry", "--config", path).code, exitOK)
}
