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

// The functions below parse v and store the result in *dst. If v is invalid, they
// leave *dst unchanged and return a description of what was expected, otherwise "".

// setName accepts the name of a VM, region or zone.
func setName(dst *string, v string) string {
	if len(v) > tables.MaxNameLength || !namePattern.MatchString(v) {
		return fmt.Sprintf("1 to %d letters, digits, '.', '_' or '-', the first a letter or digit", tables.MaxNameLength)
	}
	*dst = v
	return ""
}

// setNumber accepts a whole number from minValue to maxValue.
func setNumber[T int | uint32](dst *T, v string, minValue, maxValue T) string {
	n, err := strconv.ParseUint(v, 10, 32)
	if err != nil || n < uint64(minValue) || n > uint64(maxValue) {
		return fmt.Sprintf("a whole number from %d to %d", minValue, maxValue)
	}
	*dst = T(n)
	return ""
}

// setWorkers accepts a number of workers and replaces 0 with the number of cores.
func setWorkers(dst *int, v string) string {
	expected := setNumber(dst, v, 0, maxWorkers)
	if expected == "" && *dst == 0 {
		*dst = runtime.GOMAXPROCS(0)
	}
	return expected
}

// setLogLevel accepts the name of a log level.
func setLogLevel(dst *string, v string) string {
	if !slices.Contains(logLevels, v) {
		return "one of " + strings.Join(logLevels, ", ")
	}
	*dst = v
	return ""
}

// setAddress accepts an address to listen on, which may be unspecified.
func setAddress(dst *netip.AddrPort, v string) string {
	a, err := netip.ParseAddrPort(v)
	if err != nil || a.Port() == 0 || a.Addr().Zone() != "" {
		return addressForm
	}
	*dst = netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
	return ""
}

// setOptionalAddress accepts an address to listen on or an empty value.
func setOptionalAddress(dst *netip.AddrPort, v string) string {
	if v == "" {
		return ""
	}
	return setAddress(dst, v)
}

// setRemoteAddress accepts an address that other VMs can send to.
func setRemoteAddress(dst *netip.AddrPort, v string) string {
	var a netip.AddrPort
	if setAddress(&a, v) != "" || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return remoteAddressForm
	}
	*dst = a
	return ""
}

// setAddresses accepts a comma-separated list of at least minCount different addresses
// that other VMs can send to.
func setAddresses(dst *[]netip.AddrPort, v string, minCount int) string {
	expected := fmt.Sprintf("%d to %d different addresses separated by commas, each %s", minCount, maxAddresses, remoteAddressForm)
	var list []netip.AddrPort
	if v != "" {
		for _, part := range strings.Split(v, ",") {
			var a netip.AddrPort
			if setRemoteAddress(&a, strings.TrimSpace(part)) != "" || slices.Contains(list, a) {
				return expected
			}
			list = append(list, a)
		}
	}
	if len(list) < minCount || len(list) > maxAddresses {
		return expected
	}
	*dst = list
	return ""
}

// setYesNo stores whether v is "yes" in *dst. If v is neither "yes" nor "no", it returns a
// description of what was expected.
func setYesNo(dst *bool, v string) string {
	if v != "yes" && v != "no" {
		return "yes or no"
	}
	*dst = v == "yes"
	return ""
}
