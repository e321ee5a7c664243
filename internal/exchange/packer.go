package exchange

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"knapweedshore.example/internal/registry"
	"knapweedshore.example/peerapi"
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
	compressed, err := deflate(i.Value)
	if err != nil {
		return nil, false, errors.Wrapf(err, "item %q", i.Key)
	}
	p.packed[i.Key] = packedValue{value: i.Value, packed: compressed}
	return compressed, true, nil
}

// packItems replaces the items of a response by their compressed form.
func packItems(m *peerapi.FetchItemsResponse) error {
	b, err := proto.Marshal(&peerapi.PackedItems{Items: m.Items})
	if err != nil {
		return errors.Wrap(err, "encode items")
	}
	if m.PackedItems, err = deflate(b); err != nil {
		return errors.Wrap(err, "items")
	}
	m.Items = nil
	return nil
}

// unpackItems returns the items of a response.
func unpackItems(m *peerapi.FetchItemsResponse) ([]*peerapi.Item, error) {
	if len(m.PackedItems) == 0 {
		return m.Items, nil
	}
	b, err := unpack(m.PackedItems)
	if err != nil {
		return nil, errors.Wrap(err, "items")
	}
	var items peerapi.PackedItems
	if err := proto.Unmarshal(b, &items); err != nil {
		return nil, errors.Wrap(err, "decode items")
	}
	return items.Items, nil
}

// deflate compresses b.
func deflate(b []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if _, err := w.Write(b); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return out.Bytes(), nil
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
