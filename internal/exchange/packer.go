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
	// packAbove is the size from which on values are compressed: configurations,
	// not registrations.
	packAbove = 4 << 10
	// maxUnpacked bounds what a compressed value may grow to.
	maxUnpacked = 8 << 20
)

// packer compresses large values and keeps the result for the next peer. It is
// safe for concurrent use.
type packer struct {
	mu     sync.Mutex
	packed map[string]packedValue // by key
}

type packedValue struct {
	revision uint64
	value    []byte
}

func newPacker() *packer { return &packer{packed: map[string]packedValue{}} }

// pack returns the value of an item as it is sent, and whether that is
// compressed.
func (p *packer) pack(i registry.Item) (value []byte, packed bool, err error) {
	if len(i.Value) < packAbove {
		return i.Value, false, nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if known, ok := p.packed[i.Key]; ok && known.revision == i.Revision {
		return known.value, true, nil
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
	p.packed[i.Key] = packedValue{revision: i.Revision, value: b.Bytes()}
	return b.Bytes(), true, nil
}

func unpack(value []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value)), maxUnpacked+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if len(out) > maxUnpacked {
		return nil, errors.Errorf("decompressed value has over %d bytes", maxUnpacked)
	}
	return out, nil
}
