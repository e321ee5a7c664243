package main

import (
	"bytes"
	"context"
	"testing"

	"github.com/matryer/is"
)

// outcome is the exit code and the output of a command line.
type outcome struct {
	code     int
	out, err string
}

// execute runs one command line.
func execute(args ...string) outcome {
	var out, errOut bytes.Buffer
	code := run(context.Background(), append([]string{"knapweedshored"}, args...), &out, &errOut)
	return outcome{code, out.String(), errOut.String()}
}

// Guards against an invalid command line that is executed or exits with 0.
func TestWrongUsage(t *testing.T) {
	for name, args := range map[string][]string{
		"no command":         nil,
		"unknown command":    {"start"},
		"unknown flag":       {"dev", "--sites", "dev"},
		"unknown site":       {"dev", "--site", "cartago"},
		"unknown output":     {"dev", "--output", "yaml"},
		"too short":          {"dev", "--duration", "1s"},
		"argument for dev":   {"dev", "quesada"},
		"argument for check": {"check-config", "--config", "vm.ini", "other.ini"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := execute(args...)
			is.Equal(o.code, exitUsage)
			is.True(o.err != "")
		})
	}
}

// Guards against help without examples, and against missing shell completion.
func TestHelpAndCompletion(t *testing.T) {
	is := is.New(t)
	o := execute("--help")
	is.Equal(o.code, exitOK)
	is.True(bytes.Contains([]byte(o.out), []byte("knapweedshored run --config")))
	o = execute("completion", "bash")
	is.Equal(o.code, exitOK)
	is.True(bytes.Contains([]byte(o.out), []byte("knapweedshored")))
}
