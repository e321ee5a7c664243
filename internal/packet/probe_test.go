package packet

import (
	"testing"

	"github.com/matryer/is"

	"knapweedshore.example/internal/tables"
)

// Guards against a probe that carries payload, that a server drops for its
// checksum or length, or that falls into the receive window.
func TestProbeIsAKeepaliveSegment(t *testing.T) {
	for _, set := range addressSets {
		is := is.New(t)
		b := build(t, spec{p: tables.TCP, src: set[0], dst: set[1], flags: FlagACK | FlagPSH, seq: 1000, ack: 77, payload: []byte("confirm")})
		info := parsed(t, b)
		p := AppendProbe(nil, b, &info)
		decoded(t, p) // checks lengths and checksums
		probe := parsed(t, p)
		is.Equal(probe.PayloadLen, 0)
		is.Equal(probe.TCPFlags, FlagACK)
		is.Equal(probe.Src, set[0])
		is.Equal(probe.Dst, set[1])
		const seq, ack = 4, 8
		is.Equal(be.Uint32(p[probe.transport+seq:]), uint32(999))
		is.Equal(be.Uint32(p[probe.transport+ack:]), uint32(77))
		reset := build(t, spec{p: tables.TCP, src: set[0], dst: set[1], flags: FlagRST})
		info = parsed(t, reset)
		is.Equal(len(AppendProbe(nil, reset, &info)), 0)
	}
}
