package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"knapweedshore.example/internal/tables"
)

// keyLen is protocol, caller address and port, service address and port.
const keyLen = 1 + 16 + 2 + 16 + 2

// Fingerprint identifies a flow between daemons and is the key of its default
// server. It is part of the internal protocol: XXH64 with seed 0 over the
// protocol number, the caller's address and port, and the service's address
// and port, with IPv4 addresses in their IPv6-mapped form and ports in network
// byte order. All daemons of a region must agree on it, whatever their
// version.
func Fingerprint(caller netip.AddrPort, a tables.Address) uint64 {
	var key [keyLen]byte
	putKey(&key, caller, a.Protocol, a.AddrPort)
	return xxhash.Sum64(key[:])
}

func putKey(key *[keyLen]byte, caller netip.AddrPort, p tables.Protocol, end netip.AddrPort) {
	key[0] = byte(p)
	c, e := caller.Addr().As16(), end.Addr().As16()
	copy(key[1:], c[:])
	binary.BigEndian.PutUint16(key[17:], caller.Port())
	copy(key[19:], e[:])
	binary.BigEndian.PutUint16(key[35:], end.Port())
}
