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

// Upper limits of the number of workers and of the length of an address list.
const (
	maxWorkers   = 1024
	maxAddresses = 1024
)

// Descriptions of valid addresses for error messages.
const (
	addressForm       = "IP:PORT with a numeric IP address and a port from 1 to 65535"
	remoteAddressForm = addressForm + ", no unspecified or multicast IP address"
)

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	logLevels   = []string{"debug", "info", "warn", "error"}
)

// The functions below parse the value v into to. If v is invalid, they leave to
// unchanged and return a description of what was expected, otherwise "".

// name accepts the name of a VM, region or zone.
func name(to *string, v string) string {
	if len(v) > tables.MaxNameLength || !namePattern.MatchString(v) {
		return fmt.Sprintf("1 to %d letters, digits, '.', '_' or '-', the first a letter or digit", tables.MaxNameLength)
	}
	*to = v
	return ""
}

// number accepts a whole number from minValue to maxValue.
func number[T int | uint32](to *T, v string, minValue, maxValue T) string {
	n, err := strconv.ParseUint(v, 10, 32)
	if err != nil || n < uint64(minValue) || n > uint64(maxValue) {
		return fmt.Sprintf("a whole number from %d to %d", minValue, maxValue)
	}
	*to = T(n)
	return ""
}

// workers accepts a number of workers and replaces 0 with the number of cores.
func workers(to *int, v string) string {
	expected := number(to, v, 0, maxWorkers)
	if expected == "" && *to == 0 {
		*to = runtime.GOMAXPROCS(0)
	}
	return expected
}

// logLevel accepts the name of a log level.
func logLevel(to *string, v string) string {
	if !slices.Contains(logLevels, v) {
		return "one of " + strings.Join(logLevels, ", ")
	}
	*to = v
	return ""
}

// address accepts an address to listen on, which may be unspecified.
func address(to *netip.AddrPort, v string) string {
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 || a.Addr().Zone() != "" {
		return addressForm
	}
	*to = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	return ""
}

// optionalAddress accepts an address to listen on or an empty value.
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

// addresses accepts a comma-separated list of at least minCount different addresses
// that other VMs can send to.
func addresses(to *[]netip.AddrPort, v string, minCount int) string {
	expected := fmt.Sprintf("%d to %d different addresses separated by commas, each %s", minCount, maxAddresses, remoteAddressForm)
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
	if len(list) < minCount || len(list) > maxAddresses {
		return expected
	}
	*to = list
	return ""
}
