package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"runtime"
	"slices"
	"strconv"
	"strings"

	"knapweedshore.example/internal/tables"
)

const (
	maxWorkers   = 1024
	maxAddresses = 1024
)

// Forms of values, as error messages describe them.
const (
	addressForm       = "IP:PORT with a numeric IP address and a port from 1 to 65535"
	remoteAddressForm = addressForm + ", no unspecified or multicast IP address"
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	levels      = []string{"debug", "info", "warn", "error"}
)

func name(to *string, v string) string {
	if len(v) > tables.MaxNameLength || !namePattern.MatchString(v) {
		return fmt.Sprintf("1 to %d letters, digits, '.', '_' or '-', the first a letter or digit", tables.MaxNameLength)
	}
	*to = v
	return ""
}

func number[T int | uint32](to *T, v string, least, most T) string {
	n, err := strconv.ParseUint(v, 10, 32)
	if err != nil || n < uint64(least) || n > uint64(most) {
		return fmt.Sprintf("a whole number from %d to %d", least, most)
	}
	*to = T(n)
	return ""
}

func workers(to *int, v string) string {
	expected := number(to, v, 0, maxWorkers)
	if expected == "" && *to == 0 {
		*to = runtime.GOMAXPROCS(0)
	}
	return expected
}

func level(to *string, v string) string {
	if !slices.Contains(levels, v) {
		return "one of " + strings.Join(levels, ", ")
	}
	*to = v
	return ""
}

// address accepts any IP address, to listen on.
func address(to *netip.AddrPort, v string) string {
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 || a.Addr().Zone() != "" {
		return addressForm
	}
	*to = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	return ""
}

// optionalAddress accepts an address or nothing.
func optionalAddress(to *netip.AddrPort, v string) string {
	if v == "" {
		return ""
	}
	return address(to, v)
}

// remoteAddress accepts an address that other VMs can send to.
func remoteAddress(to *netip.AddrPort, v string) string {
	var a netip.AddrPort
	if address(&a, v) != "" || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return remoteAddressForm
	}
	*to = a
	return ""
}

// addresses accepts a list of at least so many different addresses.
func addresses(to *[]netip.AddrPort, v string, least int) string {
	expected := fmt.Sprintf("%d to %d different addresses separated by commas, each %s", least, maxAddresses, remoteAddressForm)
	var list []netip.AddrPort
	if v != "" {
		for _, part := range strings.Split(v, ",") {
			var a netip.AddrPort
			if remoteAddress(&a, strings.TrimSpace(part)) != "" || slices.Contains(list, a) {
				return expected
			}
			list = append(list, a)
		}
	}
	if len(list) < least || len(list) > maxAddresses {
		return expected
	}
	*to = list
	return ""
}
