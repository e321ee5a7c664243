package registry

import (
	"encoding/json"
	"net/netip"
	"strings"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/directory"
)

// vmPrefix is the prefix of the keys under which daemons register. The IP address
// follows it, so that a VM that starts again replaces its registration.
const vmPrefix = "knapweedshore/vms/"

// vmRecord is the value of a registration.
type vmRecord struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// vmKey returns the key of a daemon's registration.
func vmKey(addr netip.Addr) string { return vmPrefix + addr.String() }

// decodeVM decodes a registration. It reports false for other items.
func decodeVM(i Item) (directory.Change, bool) {
	text, ok := strings.CutPrefix(i.Key, vmPrefix)
	if !ok {
		return directory.Change{}, false
	}
	c := directory.Change{Revision: i.Revision}
	addr, err := netip.ParseAddr(text)
	if err != nil {
		c.Problem = errors.Wrapf(err, "registration %q", i.Key)
		return c, true
	}
	if i.Deleted {
		c.DeletedVM = addr
		return c, true
	}
	var r vmRecord
	if err := json.Unmarshal(i.Value, &r); err != nil {
		c.Problem = errors.Wrapf(err, "registration %q", i.Key)
		return c, true
	}
	c.VM = &directory.VM{Name: r.Name, Zone: r.Zone, Addr: addr, Lease: i.Lease}
	return c, true
}
