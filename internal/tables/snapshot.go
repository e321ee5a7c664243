package tables

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/go-faster/errors"
)

// MaxValueSize is the largest value that the platform store accepts: 1 MB.
const MaxValueSize = 1_000_000

// Keys of the tables in the platform store.
const (
	HeadKey       = "knapweedshore/tables/head"
	baseKeyPrefix = "knapweedshore/tables/base/"
)

// BaseKey is the store key of the whole snapshot with this version.
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

// NewSnapshot builds and validates a whole state of the tables. Entries with
// id 0 get a new id, and unset server settings their defaults. The slices are
// copied.
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

// Encode returns the JSON form, which the store and the peer messages share.
func (s *Snapshot) Encode() []byte {
	j := snapshotJSON{Version: s.version, WriteID: s.writeID, NextID: s.nextID, Reservations: s.reservations}
	j.Routes = append([]Route{}, s.routes...) // never null: equal tables have equal bytes
	j.Pools = make([]Pool, len(s.pools))
	for i, p := range s.pools {
		j.Pools[i] = Pool{Name: p.Name, Servers: omitDefaults(p.Servers)}
	}
	return mustMarshal(j)
}

// DecodeSnapshot reads and validates the JSON form.
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

// renumberedIDs is how many ids a renumbered snapshot skips, because the
// versions that were lost may have used them. It allows for years of changes.
const renumberedIDs = 1 << 20

// Renumber returns the same tables as a higher version, made by a write. It is
// for a store that was restored from a backup: daemons refuse the versions
// that the store counts again.
func (s *Snapshot) Renumber(v Version, id WriteID) (*Snapshot, error) {
	if v <= s.version {
		return nil, errors.Errorf("version %d is not above the present version %d", v, s.version)
	}
	if s.nextID > math.MaxUint32-renumberedIDs {
		var p problems
		p.add(Entry{Kind: TablesEntry}, RuleLimit, "all ids are used up")
		return nil, p.err()
	}
	next := *s
	next.version, next.writeID, next.nextID = v, id, s.nextID+renumberedIDs
	return &next, nil
}

// sort brings the entries into the order that Encode and the accessors use. It
// leaves the servers alone, because pools may share them with older snapshots.
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

// raiseNextID makes sure that no id in use is given out again.
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

// assignIDs gives new ids to the entries without one, in the order of names.
func (s *Snapshot) assignIDs() {
	for i := range s.routes {
		if s.routes[i].ID == 0 {
			s.routes[i].ID = RouteID(s.takeID())
		}
	}
	for i := range s.pools {
		servers := s.pools[i].Servers
		for j := range servers {
			if servers[j].ID == 0 {
				servers[j].ID = ServerID(s.takeID())
			}
		}
	}
}

func (s *Snapshot) takeID() uint32 {
	id := s.nextID
	s.nextID++
	return id
}

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
