package backend

import (
	"crypto/sha256"
	"hash"
	"io"
	"math/rand/v2"
)

// Sum is a SHA-256 sum.
type Sum = [sha256.Size]byte

// ChunkSize is the number of bytes of a file that a server prepares at once, each
// time it occupies a slot.
const ChunkSize = 64 << 10

// NewContent returns the endless pseudo-random content of the file with the
// seed.
func NewContent(seed string) io.Reader { return rand.NewChaCha8(sha256.Sum256([]byte(seed))) }

// ContentSum returns the SHA-256 sum of the first size bytes of the file with
// the seed.
func ContentSum(seed string, size int64) Sum {
	h := sha256.New()
	_, _ = io.CopyN(h, NewContent(seed), size) // neither the content nor the hash returns errors
	return sumOf(h)
}

func sumOf(h hash.Hash) Sum {
	var s Sum
	h.Sum(s[:0])
	return s
}
