package entry

import "net/netip"

// withPort returns the address with another port.
func withPort(a netip.AddrPort, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr(), port)
}

// addrs returns the IP addresses of a list.
func addrs(list []netip.AddrPort) []netip.Addr {
	out := make([]netip.Addr, 0, len(list))
	for _, a := range list {
		out = append(out, a.Addr())
	}
	return out
}
