package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/entry"
	"knapweedshore.example/internal/registry"
	"knapweedshore.example/standin/soak"
)

// Environment variables of the test binary. If entryEnv is set, it runs an entry
// daemon with this settings file and the defect in defectEnv instead of the tests.
const (
	entryEnv  = "KNAPWEEDSHORED_TEST_ENTRY"
	defectEnv = "KNAPWEEDSHORED_TEST_DEFECT"
)

// Deliberate defects of daemons that the soak must find.
const (
	noDefect           = "none"
	drainIgnored       = "drain ignored"
	positionalCookies  = "cookies by position"
	itemsLost          = "revision without its items"
	erasIgnored        = "eras of the store ignored"
	evacuationsIgnored = "evacuations ignored"
)

// serveDefectiveEntry runs an entry daemon with a defect and returns its exit code.
func serveDefectiveEntry(config, defect string) int {
	err := serveEntry(context.Background(), config, os.Stdout, func(o entry.Options) entry.Options {
		switch defect {
		case drainIgnored:
			o.Decoder = ignoreDrainDecoder{o.Decoder}
		case positionalCookies:
			o.Decoder = &positionalDecoder{Decoder: o.Decoder, positions: map[string]uint32{}}
		case itemsLost:
			o.Source = lossySource{o.Source}
		case erasIgnored:
			o.Source = eralessSource{o.Source}
		case evacuationsIgnored:
			o.Decoder = ignoreEvacuationDecoder{o.Decoder}
		}
		return o
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return exitOK
}

// ignoreDrainDecoder decodes draining servers as ready ones.
type ignoreDrainDecoder struct{ registry.Decoder }

func (d ignoreDrainDecoder) Decode(i registry.Item) (directory.Change, bool) {
	c, ok := d.Decoder.Decode(i)
	if c.Server != nil {
		c.Server.Draining = false
	}
	return c, ok
}

// ignoreEvacuationDecoder ignores which zones are evacuated.
type ignoreEvacuationDecoder struct{ registry.Decoder }

func (d ignoreEvacuationDecoder) Decode(i registry.Item) (directory.Change, bool) {
	c, ok := d.Decoder.Decode(i)
	return c, ok && c.Evacuated == ""
}

// positionalDecoder numbers cookies in the order in which this process first sees the
// servers, so that they may differ between daemons.
type positionalDecoder struct {
	registry.Decoder

	mu        sync.Mutex
	positions map[string]uint32
}

func (d *positionalDecoder) Decode(i registry.Item) (directory.Change, bool) {
	c, ok := d.Decoder.Decode(i)
	if c.Server == nil {
		return c, ok
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.positions[c.Server.Name] == 0 {
		d.positions[c.Server.Name] = uint32(len(d.positions) + 1)
	}
	c.Server.Cookie = directory.Cookie(d.positions[c.Server.Name])
	return c, ok
}

// lossySource returns the revision of a watch without its changes.
type lossySource struct{ registry.Source }

func (s lossySource) Watch(ctx context.Context, after uint64, wait time.Duration) (registry.Reading, error) {
	r, err := s.Source.Watch(ctx, after, wait)
	r.Items = nil
	return r, err
}

// eralessSource hides that the store was restored.
type eralessSource struct{ registry.Source }

func (s eralessSource) List(ctx context.Context) (registry.Reading, error) {
	r, err := s.Source.List(ctx)
	r.Era = 0
	return r, err
}

func (s eralessSource) Watch(ctx context.Context, after uint64, wait time.Duration) (registry.Reading, error) {
	r, err := s.Source.Watch(ctx, after, wait)
	r.Era = 0
	return r, err
}

// shortSoak runs a soak of about 25 s with four processes. It sets no memory limit
// because the race detector needs several times the memory.
func shortSoak(t *testing.T, seed uint64, defect string) *soak.Report {
	t.Helper()
	restores := 0
	if soak.HasStoreFaults(seed) {
		restores = 1
	}
	report, err := soak.Run(t.Context(), soak.Config{
		Seed: seed, FaultPhase: 6 * time.Second, Zones: 2, DaemonsPerZone: 2, Restores: restores, Evacuations: 1, Progress: func(line string) { t.Log(line) },
		Command: func(settings string) (string, []string, []string) {
			return os.Args[0], nil, []string{entryEnv + "=" + settings, defectEnv + "=" + defect}
		},
	})
	is.New(t).NoErr(err)
	t.Log(report)
	return report
}

// Guards against a promise that is broken while processes are killed, frozen and
// restarted, and while links, servers and the store fail.
func TestShortSoak(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			report := shortSoak(t, seed, noDefect)
			if !report.OK() {
				t.Fatal(report)
			}
			is.New(t).True(report.Counts.Openings > 0 && report.Counts.FaultFreeFlows > 0 && report.Counts.Probes > 0)
		})
	}
}

// Guards against a soak that does not notice broken promises. It must fail for
// daemons with deliberate defects.
func TestSoakFindsDefects(t *testing.T) {
	t.Parallel()
	for defect, seed := range map[string]uint64{drainIgnored: 1, positionalCookies: 1, itemsLost: 1, erasIgnored: 2, evacuationsIgnored: 1} {
		t.Run(defect, func(t *testing.T) {
			t.Parallel()
			is.New(t).True(!shortSoak(t, seed, defect).OK())
		})
	}
}
