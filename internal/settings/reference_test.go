package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// referenceTable returns the settings reference of the keys as a Markdown table.
func referenceTable(keys []Key) string {
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

// Guards against a settings reference that lacks a key or differs from the code in
// a default or a description. The output of a failing test contains the table to
// copy into the page.
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
		if want := referenceTable(keys); table.String() != want {
			t.Errorf("docs/OPERATIONS.md has under %q\n%s\nwant\n%s", heading, table.String(), want)
		}
	}
}

// Guards against two keys with the same name in a section, and against a key
// without description or with a default although it is required.
func TestKeysAreUnique(t *testing.T) {
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
