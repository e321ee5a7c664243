package tables

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// MaxValueSize is the maximum size of a value in the platform store in bytes: 1 MB.
const MaxValueSize = 1_000_000

// Keys of the tables in the platform store.
const (
	HeadKey       = "knapweedshore/tables/head"
	baseKeyPrefix = "knapweedshore/tables/base/"
)

// BaseKey returns the store key of the full snapshot of a version.
func BaseKey(v Version) string { return fmt.Sprintf("%s%d", baseKeyPrefix, v) }

// snapshotJSON is the JSON form of a Snapshot.
type snapshotJSON struct {
	Version      Version       `json:"version"`
	WriteID      WriteID       `json:"write_id,omitempty"`
	NextID       uint32        `json:"next_id"`
	Routes       []Route       `json:"routes"`
	Pools        []Pool        `json:"pools"`
	Reservations []Reservation `json:"reservations,omitempty"`
}

// NewSnapshot builds and validates a snapshot. Entries with id 0 get a new id, and
// unset server settings their default values. The slices are copied.
func NewSnapshot(v Version, routes []Route, pools []Pool) (*Snapshot, error) {
	return newSnapshot(snapshotJSON{Version: v, NextID: 1, Routes: routes, Pools: pools})
}

func newSnapshot(j snapshotJSON) (*Snapshot, error) {
	s := &Snapshot{version: j.Version, writeID: j.WriteID, nextID: max(j.NextID, 1)}
	s.routes = slices.Clone(j.Routes)
	s.pools = slices.Clone(j.Pools)
	for i := range s.pools {
		p := &s.pools[i]
		p.Servers = fillDefaults(slices.Clone(p.Servers))
	}
	s.reservations = slices.Clone(j.Reservations)
	for i := range s.reservations {
		s.reservations[i].Until = roundTime(s.reservations[i].Until)
	}
	for _, p := range s.pools {
		sortServers(p.Servers)
	}
	s.sort()
	s.raiseNextID()
	s.assignIDs()
	s.index()
	if err := s.validate().err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Encode returns the JSON form, which is used in the store and in messages between
// daemons.
func (s *Snapshot) Encode() []byte {
	j := snapshotJSON{Version: s.version, WriteID: s.writeID, NextID: s.nextID, Reservations: s.reservations}
	j.Routes = append([]Route{}, s.routes...) // never null, so that equal tables have equal bytes
	j.Pools = make([]Pool, len(s.pools))
	for i, p := range s.pools {
		j.Pools[i] = Pool{Name: p.Name, Servers: omitDefaults(p.Servers)}
	}
	return mustMarshal(j)
}

// DecodeSnapshot parses and validates the JSON form.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	var j snapshotJSON
	if err := decodeValue(data, &j); err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	s, err := newSnapshot(j)
	if err != nil {
		return nil, errors.Wrap(err, "decode snapshot")
	}
	return s, nil
}

// renumberIDGap is the number of ids that Renumber skips, because the lost versions
// may have used them. It is large enough for years of changes.
const renumberIDGap = 1 << 20

// Renumber returns the same tables with the higher version v and the given write
// id. It is used after the store was restored from a backup, because daemons
// refuse versions that are not newer than those they have already seen.
func (s *Snapshot) Renumber(v Version, id WriteID) (*Snapshot, error) {
	if v <= s.version {
		return nil, errors.Errorf("version %d is not above the current version %d", v, s.version)
	}
	if s.nextID > math.MaxUint32-renumberIDGap {
		var p problems
		p.add(Entry{Kind: TablesEntry}, RuleLimit, "all ids are used up")
		return nil, p.err()
	}
	next := *s
	next.version, next.writeID, next.nextID = v, id, s.nextID+renumberIDGap
	return &next, nil
}

// sort sorts the entries for Encode and the accessors. It does not sort the
// servers, because pools may share them with older snapshots.
func (s *Snapshot) sort() {
	slices.SortStableFunc(s.routes, func(a, b Route) int { return strings.Compare(a.Name, b.Name) })
	slices.SortStableFunc(s.pools, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	s.sortReservations()
}

func (s *Snapshot) sortReservations() {
	slices.SortStableFunc(s.reservations, func(a, b Reservation) int {
		return compareAddress(a.Address, b.Address)
	})
}

func sortServers(servers []Server) {
	slices.SortStableFunc(servers, func(a, b Server) int { return strings.Compare(a.Name, b.Name) })
}

// raiseNextID raises nextID above all ids in use, so that none is assigned again.
func (s *Snapshot) raiseNextID() {
	for _, r := range s.routes {
		s.nextID = max(s.nextID, uint32(r.ID)+1)
	}
	for _, p := range s.pools {
		for _, srv := range p.Servers {
			s.nextID = max(s.nextID, uint32(srv.ID)+1)
		}
	}
}

// assignIDs assigns ids to routes and servers with id 0, in the order of their
// names.
func (s *Snapshot) assignIDs() {
	for i := range s.routes {
		if s.routes[i].ID == 0 {
			s.routes[i].ID = RouteID(s.allocateID())
		}
	}
	for i := range s.pools {
		servers := s.pools[i].Servers
		for j := range servers {
			if servers[j].ID == 0 {
				servers[j].ID = ServerID(s.allocateID())
			}
		}
	}
}

// allocateID returns the next unused id.
func (s *Snapshot) allocateID() uint32 {
	id := s.nextID
	s.nextID++
	return id
}

// decodeValue parses the JSON form of a value of the store into v.
func decodeValue(data []byte, v any) error {
	if len(data) > MaxValueSize {
		return errors.Errorf("value has %d bytes, want at most %d", len(data), MaxValueSize)
	}
	return json.Unmarshal(data, v)
}

func mustMarshal(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic("tables: encode: " + err.Error())
	}
	return data
}
