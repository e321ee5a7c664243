package settings

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// reference is the table of the settings reference.
func reference() string {
	var b strings.Builder
	b.WriteString("| section | key | default | meaning |\n|---|---|---|---|\n")
	for _, k := range Keys() {
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
// default than the code. The table of the page is what this test expects.
func TestReferenceListsTheKeysOfTheCode(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/operations.md")
	is.NoErr(err)
	_, section, found := strings.Cut(string(page), "## Settings reference\n")
	is.True(found)
	section, _, _ = strings.Cut(section, "\n## ")
	var table strings.Builder
	for line := range strings.Lines(section) {
		if strings.HasPrefix(line, "|") {
			table.WriteString(line)
		}
	}
	if want := reference(); table.String() != want {
		t.Fatalf("docs/operations.md has\n%s\nwant\n%s", table.String(), want)
	}
}

// Guards against keys that hide each other.
func TestKeysAreDifferent(t *testing.T) {
	is := is.New(t)
	seen := map[string]bool{}
	for _, k := range Keys() {
		is.True(!seen[k.Section+"."+k.Name])
		seen[k.Section+"."+k.Name] = true
		is.True(k.Meaning != "")
		is.True(!k.Required || k.Default == "")
	}
}
