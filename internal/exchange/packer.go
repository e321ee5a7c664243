package exchange

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/registry"
)

const (
	// minPackSize is the size in bytes from which values are compressed. It selects
	// configurations, not registrations.
	minPackSize = 4 << 10
	// maxUnpackedSize is the maximum size of a decompressed value in bytes.
	maxUnpackedSize = 8 << 20
)

// packer compresses large values and caches the results, so that each value is
// compressed once for all peers. It is safe for concurrent use.
type packer struct {
	mu     sync.Mutex
	packed map[string]packedValue // by key
}

// packedValue is a value and its compressed form. The revision does not identify the
// value: a restored store assigns revisions again.
type packedValue struct {
	value, packed []byte
}

func newPacker() *packer { return &packer{packed: map[string]packedValue{}} }

// pack returns the value of an item as sent to peers, and whether it is
// compressed.
func (p *packer) pack(i registry.Item) (value []byte, packed bool, err error) {
	if len(i.Value) < minPackSize {
		return i.Value, false, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if cached, ok := p.packed[i.Key]; ok && bytes.Equal(cached.value, i.Value) {
		return cached.packed, true, nil
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, false, errors.Wrapf(err, "compress item %q", i.Key)
	}
	if _, err := w.Write(i.Value); err != nil {
		return nil, false, errors.Wrapf(err, "compress item %q", i.Key)
	}
	if err := w.Close(); err != nil {
		return nil, false, errors.Wrapf(err, "compress item %q", i.Key)
	}
	p.packed[i.Key] = packedValue{value: i.Value, packed: b.Bytes()}
	return b.Bytes(), true, nil
}

// unpack decompresses a value.
func unpack(value []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value)), maxUnpackedSize+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(out) > maxUnpackedSize {
		return nil, errors.Errorf("decompressed value is larger than %d bytes", maxUnpackedSize)
	}
	return out, nil
}
