package settings

import (
	"fmt"
	"strings"
)

// Problem is one fault of a settings file.
type Problem struct {
	File, Section, Key, Value string
	// Expected describes what would be accepted.
	Expected string
}

// String returns the place of the fault, the invalid value and what was expected.
func (p Problem) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "file %q", p.File)
	if p.Section != "" {
		fmt.Fprintf(&b, ", section %q", p.Section)
	}
	if p.Key != "" {
		fmt.Fprintf(&b, ", key %q, value %q", p.Key, p.Value)
	}
	fmt.Fprintf(&b, ": want %s", p.Expected)
	return b.String()
}

// InvalidError reports all problems of a settings file.
type InvalidError struct{ Problems []Problem }

// Error implements error with one line for each problem.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
