package main

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an invalid flag that is reported only after minutes of runs.
func TestBenchChecksItsFlagsFirst(t *testing.T) {
	for flag, value := range map[string]string{
		"--site": "cartago", "--setting": "quiet", "--policy": "maglev", "--output": "yaml", "--duration": "1s",
	} {
		t.Run(flag, func(t *testing.T) {
			is := is.New(t)
			o := execute("bench", flag, value)
			is.Equal(o.code, exitUsage)
			is.True(strings.Contains(o.err, flag+" is"))
		})
	}
}
