package packet

import (
	"testing"

	"github.com/matryer/is"

	"knapweedshore.example/internal/tables"
)

// Guards against a probe that carries payload, falls into the receive window, or is
// dropped by the server because of its checksum or length.
func TestProbeIsAKeepaliveSegment(t *testing.T) {
	for _, set := range addressSets {
		is := is.New(t)
		b := build(t, spec{protocol: tables.TCP, src: set[0], dst: set[1], flags: FlagACK | FlagPSH, seq: 1000, ack: 77, payload: []byte("confirm")})
		info := mustParse(t, b)
		p := AppendProbe(nil, b, &info)
		decodeVerified(t, p) // checks lengths and checksums
		probe := mustParse(t, p)
		is.Equal(probe.PayloadLen, 0)
		is.Equal(probe.TCPFlags, FlagACK)
		is.Equal(probe.Src, set[0])
		is.Equal(probe.Dst, set[1])
		const seq, ack = 4, 8
		is.Equal(be.Uint32(p[probe.transport+seq:]), uint32(999))
		is.Equal(be.Uint32(p[probe.transport+ack:]), uint32(77))
		reset := build(t, spec{protocol: tables.TCP, src: set[0], dst: set[1], flags: FlagRST})
		info = mustParse(t, reset)
		is.Equal(len(AppendProbe(nil, reset, &info)), 0)
	}
}
