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
		score := float64(s.Weight) * rendezvousScore(key, s.ID)
		if best == nil || outranks(score, s.ID, bestScore, best.ID) {
			best, bestScore = s, score
		}
	}
	return best, best != nil
}

// rendezvousScore returns the unweighted rendezvous score of a flow key and a
// server: 1/-ln(u) with u uniform in (0, 1). If each score of a set is multiplied
// by the server's weight, a server has the highest score with a probability
// proportional to its weight.
func rendezvousScore(key uint64, id tables.ServerID) float64 {
	var pair [12]byte
	binary.LittleEndian.PutUint64(pair[:8], key)
	binary.LittleEndian.PutUint32(pair[8:], uint32(id))
	// 53 bits fill the mantissa of a float64; adding 0.5 keeps u off 0 and 1.
	u := (float64(xxhash.Sum64(pair[:])>>11) + 0.5) / (1 << 53)
	return -1 / math.Log(u)
}

// outranks reports whether a server comes before another in rendezvous order:
// the higher score first, and the lower id if the scores are equal.
func outranks(score float64, id tables.ServerID, otherScore float64, otherID tables.ServerID) bool {
	if score != otherScore {
		return score > otherScore
	}
	return id < otherID
}
