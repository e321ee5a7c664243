package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// reference is the table of a settings reference.
func reference(keys []Key) string {
	var b strings.Builder
	b.WriteString("| section | key | default | meaning |\n|---|---|---|---|\n")
	for _, k := range keys {
		value := "none"
		switch {
		case k.Required:
			value = "required"
		case k.Default != "":
			value = "`" + k.Default + "`"
		}
		fmt.Fprintf(&b, "| `%s` | `%s` | %s | %s |\n", k.Section, k.Name, value, k.Meaning)
	}
	return b.String()
}

// Guards against a settings reference that lacks a key or states another
// default than the code. The tables of the page are what this test expects.
func TestReferenceListsTheKeysOfTheCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for heading, keys := range map[string][]Key{"## Settings reference\n": Keys(), "### Entry settings\n": EntryKeys()} {
		is := is.New(t)
		_, section, found := strings.Cut(string(page), heading)
		is.True(found)
		section, _, _ = strings.Cut(section, "\n##")
		var table strings.Builder
		for line := range strings.Lines(section) {
			if strings.HasPrefix(line, "|") {
				table.WriteString(line)
			}
		}
		if want := reference(keys); table.String() != want {
			t.Errorf("docs/OPERATIONS.md has under %q\n%s\nwant\n%s", heading, table.String(), want)
		}
	}
}

// Guards against keys that hide each other.
func TestKeysAreDifferent(t *testing.T) {
	for _, keys := range [][]Key{Keys(), EntryKeys()} {
		is := is.New(t)
		seen := map[string]bool{}
		for _, k := range keys {
			is.True(!seen[k.Section+"."+k.Name])
			seen[k.Section+"."+k.Name] = true
			is.True(k.Meaning != "")
			is.True(!k.Required || k.Default == "")
		}
	}
}
