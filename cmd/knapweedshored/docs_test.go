package main

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"knapweedshore.example/internal/events"
)

// Guards against an events page that lacks an event, or whose number, level,
// message or action differs from the code.
func TestEventsPageListsTheEventsOfTheCode(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/events.md")
	is.NoErr(err)
	var got, want []string
	for line := range strings.Lines(string(page)) {
		cells := strings.Split(strings.TrimSpace(line), " | ")
		if len(cells) != 5 || cells[0] == "| number" {
			continue
		}
		is.True(len(cells[3]) > 10) // every event has a meaning
		got = append(got, strings.Join(slices.Delete(cells, 3, 4), " | "))
	}
	for _, e := range events.All() {
		want = append(want, fmt.Sprintf("| %d | %s | %s | %s |", e.Number, e.Level, e.Message, e.Action))
	}
	is.Equal(strings.Join(got, "\n"), strings.Join(want, "\n"))
}

// Guards against alerts for events that do not exist, and against events of level
// error without an alert.
func TestAlertsNameEvents(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	_, section, found := strings.Cut(string(page), "## Alerts\n")
	is.True(found)
	alerts := map[string]bool{}
	for line := range strings.Lines(section) {
		cells := strings.Split(line, "|")
		if len(cells) < 4 {
			continue
		}
		for _, number := range strings.Split(cells[1], ",") {
			alerts[strings.TrimSpace(number)] = true
		}
	}
	for _, e := range events.All() {
		number := fmt.Sprint(e.Number)
		is.True(alerts[number] || e.Level.String() != "error") // an error has an alert
		delete(alerts, number)
	}
	delete(alerts, "event")
	delete(alerts, "---")
	is.Equal(len(alerts), 0)
}

// Guards against a faults page that names a renamed or removed test.
func TestFaultsPageNamesExistingTests(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/faults.md")
	is.NoErr(err)
	sources := testSources(t)
	names := regexp.MustCompile(`(Test|Fuzz)[A-Z]\w+|[a-z-]+\.txtar`).FindAllString(string(page), -1)
	is.True(len(names) > 50)
	for _, name := range names {
		if strings.HasSuffix(name, ".txtar") {
			_, err := os.Stat("../../standin/scenario/testdata/" + name)
			is.NoErr(err)
			continue
		}
		if !strings.Contains(sources, "func "+name+"(") {
			t.Errorf("docs/faults.md names %s, which does not exist", name)
		}
	}
}

// testSources returns the text of all test files of the workspace.
func testSources(t *testing.T) string {
	var all strings.Builder
	err := filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		all.Write(source)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all.String()
}
