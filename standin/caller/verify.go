package caller

import (
	"crypto/sha256"
	"io"
	"strings"

	"github.com/go-faster/errors"

	"knapweedshore.example/standin/backend"
)

// maxAnswerSize bounds the response body of a check or a confirmation, in bytes.
const maxAnswerSize = 1024

// verify reads a response body of the given length and checks that it is the
// complete and correct response to the request.
func verify(r backend.Request, body io.Reader, length int64) error {
	if r.Operation == backend.File {
		return verifyFile(r, body, length)
	}
	if length > maxAnswerSize {
		return broken(WrongAnswer, errors.Errorf("%s %q: answer of %d bytes", r.Operation, r.ID, length))
	}
	answer := make([]byte, length)
	if _, err := io.ReadFull(body, answer); err != nil {
		return errors.Wrapf(err, "read answer to %s %q", r.Operation, r.ID)
	}
	want := strings.TrimSuffix(backend.Answer(r, ""), "\n")
	if !strings.HasPrefix(string(answer), want) {
		return broken(WrongAnswer, errors.Errorf("%s %q: answer %q", r.Operation, r.ID, answer))
	}
	return nil
}

// verifyFile checks the length and the SHA-256 sum of a file.
func verifyFile(r backend.Request, body io.Reader, length int64) error {
	if length != r.Size {
		return broken(WrongAnswer, errors.Errorf("file %q: length %d, want %d", r.ID, length, r.Size))
	}
	h := sha256.New()
	n, err := io.CopyN(h, body, length)
	if err != nil {
		return errors.Wrapf(err, "read file %q after %d of %d bytes", r.ID, n, length)
	}
	if want := backend.ContentSum(r.ID, r.Size); string(h.Sum(nil)) != string(want[:]) {
		return broken(WrongHash, errors.Errorf("file %q: wrong SHA-256", r.ID))
	}
	return nil
}
