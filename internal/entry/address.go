package entry

import "net/netip"

// withPort returns a with its port replaced.
func withPort(a netip.AddrPort, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr(), port)
}

// addrs returns the IP addresses in list.
func addrs(list []netip.AddrPort) []netip.Addr {
	out := make([]netip.Addr, 0, len(list))
	for _, a := range list {
		out = append(out, a.Addr())
	}
	return out
}
