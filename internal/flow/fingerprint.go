package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"knapweedshore.example/internal/tables"
)

// keyLen is the length of the key of a flow, in bytes: protocol, caller address
// and port, service address and port.
const keyLen = 1 + 16 + 2 + 16 + 2

// Fingerprint identifies a flow across daemons and is the key of its default
// server. It is part of the internal protocol: XXH64 with seed 0 over the
// protocol number, the caller's address and port, and the service's address and
// port, with IPv4 addresses in their IPv6-mapped form and ports in network byte
// order. All daemons of a region must compute the same value, whatever their
// version.
func Fingerprint(caller netip.AddrPort, a tables.Address) uint64 {
	var key [keyLen]byte
	putKey(&key, caller, a.Protocol, a.AddrPort)
	return xxhash.Sum64(key[:])
}

func putKey(key *[keyLen]byte, caller netip.AddrPort, p tables.Protocol, endpoint netip.AddrPort) {
	key[0] = byte(p)
	callerIP, endpointIP := caller.Addr().As16(), endpoint.Addr().As16()
	copy(key[1:], callerIP[:])
	binary.BigEndian.PutUint16(key[17:], caller.Port())
	copy(key[19:], endpointIP[:])
	binary.BigEndian.PutUint16(key[35:], endpoint.Port())
}
