package backend

import (
	"crypto/sha256"
	"hash"
	"io"
	"math/rand/v2"
)

// Sum is a SHA-256.
type Sum = [sha256.Size]byte

// ChunkSize is how much of a file a server prepares at once.
const ChunkSize = 64 << 10

// NewContent returns the endless pseudo-random content of the file that a
// seed names.
func NewContent(seed string) io.Reader { return rand.NewChaCha8(sha256.Sum256([]byte(seed))) }

// ContentSum returns the SHA-256 of the first size bytes of a file.
func ContentSum(seed string, size int64) Sum {
	h := sha256.New()
	_, _ = io.CopyN(h, NewContent(seed), size) // neither side fails
	return sumOf(h)
}

func sumOf(h hash.Hash) Sum {
	var s Sum
	h.Sum(s[:0])
	return s
}
