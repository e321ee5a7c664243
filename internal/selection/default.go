package selection

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"knapweedshore.example/internal/tables"
)

// Default returns the server with the highest weighted rendezvous score for
// the flow key among the active servers of the pool. It depends only on the
// key and on the ids, weights and states of the servers, so every process
// computes the same server, and a server that joins or leaves moves only its
// own flows. It reports false when the pool has no active server.
func Default(key uint64, pool *tables.Pool) (*tables.Server, bool) {
	var best *tables.Server
	bestScore := 0.0
	for i := range pool.Servers {
		s := &pool.Servers[i]
		if s.State != tables.Active {
			continue
		}
		score := float64(s.Weight) * draw(key, s.ID)
		if best == nil || precedes(score, s.ID, bestScore, best.ID) {
			best, bestScore = s, score
		}
	}
	return best, best != nil
}

// draw returns the unweighted rendezvous score of the pair, 1/-ln(u) with u
// uniform in (0, 1). Multiplied by weights, the highest score of a set falls on
// each member in proportion to its weight.
func draw(key uint64, id tables.ServerID) float64 {
	var pair [12]byte
	binary.LittleEndian.PutUint64(pair[:8], key)
	binary.LittleEndian.PutUint32(pair[8:], uint32(id))
	// The upper 53 bits fill a float64; one half keeps u away from 0 and 1.
	u := (float64(xxhash.Sum64(pair[:])>>11) + 0.5) / (1 << 53)
	return -1 / math.Log(u)
}

// precedes orders servers by falling score; equal scores go to the lower id.
func precedes(score float64, id tables.ServerID, other float64, otherID tables.ServerID) bool {
	if score != other {
		return score > other
	}
	return id < otherID
}
