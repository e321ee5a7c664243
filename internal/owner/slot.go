// Package owner maps flows to slots and slots to the members that own them.
package owner

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"knapweedshore.example/internal/tables"
)

// Slots is the number of slots. At 260 members of a region each one owns about
// 252, so that the random share of a member varies by about 6%.
const Slots = 1 << 16

const slotKeyLength = 16 + 2 + 1

// Slot returns the slot of a flow. It depends only on the caller's endpoint,
// which is the source of a request and the destination of a response, so both
// directions of a flow have the same slot. The function is part of the
// protocol between daemons.
func Slot(p tables.Protocol, caller netip.AddrPort) uint32 {
	var key [slotKeyLength]byte
	addr := caller.Addr().As16()
	copy(key[:16], addr[:])
	binary.BigEndian.PutUint16(key[16:18], caller.Port())
	key[18] = byte(p)
	return uint32(xxhash.Sum64(key[:]) % Slots)
}
