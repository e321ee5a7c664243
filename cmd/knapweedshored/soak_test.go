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

// entryVariable makes the test binary an entry daemon with this settings file,
// with the defect that defectVariable names.
const (
	entryVariable  = "KNAPWEEDSHORED_TEST_ENTRY"
	defectVariable = "KNAPWEEDSHORED_TEST_DEFECT"
)

// Defects of daemons, which the soak has to find.
const (
	noDefect      = "none"
	drainIgnored  = "drain ignored"
	stalePosition = "cookies by position"
	itemsLost     = "revision without its items"
)

func serveDefectiveEntry(config, defect string) int {
	err := serveEntry(context.Background(), config, os.Stdout, func(o entry.Options) entry.Options {
		switch defect {
		case drainIgnored:
			o.Decoder = ignoringDecoder{o.Decoder}
		case stalePosition:
			o.Decoder = &positionDecoder{Decoder: o.Decoder, positions: map[string]uint32{}}
		case itemsLost:
			o.Source = losingSource{o.Source}
		}
		return o
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return exitOK
}

// ignoringDecoder takes draining servers for ready ones.
type ignoringDecoder struct{ registry.Decoder }

func (d ignoringDecoder) Decode(i registry.Item) (directory.Change, bool) {
	c, ok := d.Decoder.Decode(i)
	if c.Server != nil {
		c.Server.Draining = false
	}
	return c, ok
}

// positionDecoder names servers by the order in which this process met them.
type positionDecoder struct {
	registry.Decoder

	mu        sync.Mutex
	positions map[string]uint32
}

func (d *positionDecoder) Decode(i registry.Item) (directory.Change, bool) {
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

// losingSource claims the revision of a watch and loses the changes.
type losingSource struct{ registry.Source }

func (s losingSource) Watch(ctx context.Context, after uint64, wait time.Duration) (registry.Reading, error) {
	r, err := s.Source.Watch(ctx, after, wait)
	r.Items = nil
	return r, err
}

// shortSoak is a run of about 25 s with four processes. The race detector takes
// several times the memory, so that has no limit here.
func shortSoak(t *testing.T, seed uint64, defect string) *soak.Report {
	t.Helper()
	report, err := soak.Run(t.Context(), soak.Config{
		Seed: seed, FaultPhase: 6 * time.Second, Zones: 2, DaemonsPerZone: 2, Progress: func(line string) { t.Log(line) },
		Command: func(settings string) (string, []string, []string) {
			return os.Args[0], nil, []string{entryVariable + "=" + settings, defectVariable + "=" + defect}
		},
	})
	is.New(t).NoErr(err)
	t.Log(report)
	return report
}

// Guards against a promise that is broken while processes are killed, frozen and
// restarted and links, servers and the store fail.
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

// Guards against a soak that passes over broken promises: it finds daemons that are
// broken on purpose.
func TestSoakFindsDefects(t *testing.T) {
	t.Parallel()
	for defect, seed := range map[string]uint64{drainIgnored: 1, stalePosition: 1, itemsLost: 1} {
		t.Run(defect, func(t *testing.T) {
			t.Parallel()
			is.New(t).True(!shortSoak(t, seed, defect).OK())
		})
	}
}
