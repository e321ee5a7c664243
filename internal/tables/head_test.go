package tables

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// appendChange adds a change that creates a pool with this number of servers.
func appendChange(t *testing.T, h *Head, s *Snapshot, servers int) (*Head, *Snapshot) {
	t.Helper()
	pool := PutPool{Name: fmt.Sprintf("p%d", h.Version)}
	for i := range servers {
		endpoint := fmt.Sprintf("10.%d.%d.%d:80", h.Version, i/250, i%250+1)
		pool.Servers = append(pool.Servers, server(fmt.Sprintf("s%d", i), endpoint))
	}
	d := delta(s, testTime, pool)
	next, err := h.Append(d)
	if err != nil {
		t.Fatal(err)
	}
	applied, err := s.Apply(d)
	if err != nil {
		t.Fatal(err)
	}
	return next, applied
}

// Guards against a compaction that loses versions, starts too late, or uses the
// newest version as base.
func TestHeadCompaction(t *testing.T) {
	for _, test := range []struct {
		name                   string
		first, others, changes int // number of servers in the first change and in each other one
	}{
		{"by count", 0, 0, MaxHeadDeltas + 10},
		{"by bytes", 20, 20, 60},
		{"by one large delta", 1000, 0, 3},
		{"by large deltas", 1000, 1000, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h, s, base := &Head{}, Empty(), Empty()
			compacted := 0
			for i := range test.changes {
				servers := test.others
				if i == 0 {
					servers = test.first
				}
				h, s = appendChange(t, h, s, servers)
				version, needed := h.CompactionBase()
				if !needed {
					is.True(len(h.Deltas) <= MaxHeadDeltas)
					continue
				}
				compacted++
				is.True(version > h.Base && version < h.Version)
				var err error
				base, err = h.Replay(base, version)
				is.NoErr(err)
				h, err = h.Rebase(version)
				is.NoErr(err)
				_, again := h.CompactionBase()
				is.True(!again)
				is.True(len(h.Deltas) <= MaxHeadDeltas/2)
			}
			is.True(compacted > 0)
			h, err := DecodeHead(h.Encode())
			is.NoErr(err)
			newest, err := h.Replay(base, h.Version)
			is.NoErr(err)
			is.True(string(newest.Encode()) == string(s.Encode()))
		})
	}
}

// Guards against sending a daemon deltas that do not follow its version.
func TestDeltasSince(t *testing.T) {
	is := is.New(t)
	h, s := &Head{}, Empty()
	for range 5 {
		h, s = appendChange(t, h, s, 0)
	}
	h, err := h.Rebase(2)
	is.NoErr(err)
	for v, want := range map[Version]int{1: -1, 2: 3, 4: 1, 5: 0, 6: -1} {
		deltas, ok := h.DeltasSince(v)
		is.Equal(ok, want >= 0)
		if ok {
			is.Equal(len(deltas), want)
		}
	}
}

// Guards against an unknown outcome that cannot be resolved after a lost response
// because the write id is missing or assigned to the wrong version.
func TestHeadKeepsLastWriteIDs(t *testing.T) {
	is := is.New(t)
	h := &Head{}
	for v := Version(1); v <= MaxWriteIDs+3; v++ {
		var err error
		h, err = h.Append(Delta{Version: v, WriteID: WriteID(fmt.Sprint("w", v)), Time: testTime})
		is.NoErr(err)
		h, err = h.Rebase(v)
		is.NoErr(err)
	}
	_, ok := h.VersionOfWrite("w3")
	is.True(!ok)
	for _, v := range []Version{4, 100, MaxWriteIDs + 3} {
		got, ok := h.VersionOfWrite(WriteID(fmt.Sprint("w", v)))
		is.True(ok)
		is.Equal(got, v)
	}
}
