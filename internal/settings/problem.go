package settings

import (
	"fmt"
	"strings"
)

// Problem is one fault of a settings file.
type Problem struct {
	File, Section, Key, Value string
	// Expected tells what would have been right.
	Expected string
}

// String names everything that is known about the fault.
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

// InvalidError reports all problems of a settings file together.
type InvalidError struct{ Problems []Problem }

// Error implements error with one line for each problem.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}
