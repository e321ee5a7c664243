// Package owner maps flows to slots and slots to the members that own them.
package owner

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"knapweedshore.example/internal/tables"
)

// Slots is the number of slots. With 260 members in a region, each one owns
// about 252 slots, and this number varies randomly by about 6%.
const Slots = 1 << 16

// slotKeyLength is the length in bytes of the hashed key: address, port and
// protocol.
const slotKeyLength = 16 + 2 + 1

// Slot returns the slot of a flow. It depends only on the caller's endpoint,
// which is the source of a request and the destination of a response, so both
// directions of a flow have the same slot. All daemons must compute the same
// slots, so a change of this function breaks the protocol between them.
func Slot(p tables.Protocol, caller netip.AddrPort) uint32 {
	var key [slotKeyLength]byte
	addr := caller.Addr().As16()
	copy(key[:16], addr[:])
	binary.BigEndian.PutUint16(key[16:18], caller.Port())
	key[18] = byte(p)
	return uint32(xxhash.Sum64(key[:]) % Slots)
}
