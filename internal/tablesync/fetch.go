package tablesync

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
)

// Fetch returns the response for a peer with version have: the deltas that it lacks if
// they are still in the log, otherwise the whole snapshot. A peer without tables gets
// the snapshot.
func (s *Syncer) Fetch(have tables.Version) *peerapi.FetchTablesResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.current.Load()
	if current == nil {
		return &peerapi.FetchTablesResponse{}
	}
	r := &peerapi.FetchTablesResponse{
		Version: uint64(current.Version()), AgeMs: uint64(s.Age().Milliseconds()),
	}
	if have >= current.Version() {
		return r
	}
	if deltas, ok := s.recentDeltas.since(have); ok && have > 0 {
		r.Deltas = deltas
		return r
	}
	if s.encoded == nil {
		s.encoded = current.Encode()
	}
	r.Snapshot = s.encoded
	return r
}

// fetch brings this daemon to the version of a peer.
func (s *Syncer) fetch(ctx context.Context, from member.Name, peers Peers) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	r, err := peers.FetchTables(ctx, from, s.Version())
	if err != nil {
		return err
	}
	err = s.applyResponse(r, from, peers)
	if err != nil && len(r.GetSnapshot()) == 0 {
		// The deltas do not apply to the version in force, so fetch the snapshot.
		if r, err = peers.FetchTables(ctx, from, 0); err != nil {
			return err
		}
		err = s.applyResponse(r, from, peers)
	}
	if err != nil {
		return errors.Wrapf(err, "apply tables of peer %q", from)
	}
	return nil
}

// applyResponse applies the tables in a peer's response and confirms their version.
func (s *Syncer) applyResponse(r *peerapi.FetchTablesResponse, from member.Name, peers Peers) error {
	if data := r.GetSnapshot(); len(data) > 0 {
		snapshot, err := tables.DecodeSnapshot(data)
		if err != nil {
			return err
		}
		s.replace(snapshot)
	} else {
		deltas := make([]tables.Delta, len(r.GetDeltas()))
		for i, data := range r.GetDeltas() {
			d, err := tables.DecodeDelta(data)
			if err != nil {
				return err
			}
			deltas[i] = d
		}
		if err := s.apply(deltas, from, peers); err != nil {
			return err
		}
	}
	age := time.Duration(min(r.GetAgeMs(), uint64(maxAge.Milliseconds()))) * time.Millisecond
	s.confirm(tables.Version(r.GetVersion()), time.Now().Add(-age))
	return nil
}
