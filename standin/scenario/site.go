package scenario

import (
	"context"
	"net/netip"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/edit"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/peer"
	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
	layout "knapweedshore.example/standin/site"
	standinstore "knapweedshore.example/standin/store"
)

const (
	// seedCount is the number of VMs that are configured as seeds of all VMs.
	seedCount = 4
	// operatorCallsPerSecond and operatorTimeout are the values that
	// knapweedshorectl uses.
	operatorCallsPerSecond = 20
	operatorTimeout        = 15 * time.Second
	// defaultAuthor is the author of changes by commands that name no operator.
	defaultAuthor = "ana"
)

// site is a region with its VMs and its platform store.
type site struct {
	region    string
	zones     []string
	platform  *standinstore.Platform
	authority *peer.Authority
	network   *network
	uplinks   map[string]*uplink // by zone
	vms       []*vm
	operators *operatorStore
	backup    standinstore.Backup

	// lastChange is the time of the last accepted write or fault command. The
	// bounds of within commands count from it.
	lastChange time.Time
	// callsBefore are the store calls up to storeCommandAt, the time of the last
	// store command.
	callsBefore    standinstore.Counts
	storeCommandAt time.Time
}

// newSite writes the first tables of a region and starts its VMs.
func newSite(region string) (*site, error) {
	d := layout.Quesada()
	if region != d.Region {
		d = layout.Sullam()
	}
	if region != d.Region {
		return nil, errors.Errorf("region %q: want cartago or tn-north", region)
	}
	authority, err := peer.NewAuthority()
	if err != nil {
		return nil, err
	}
	s := &site{region: region, zones: d.Zones, authority: authority, network: newNetwork(),
		platform: standinstore.New(standinstore.Options{}), uplinks: make(map[string]*uplink), lastChange: time.Now()}
	s.operators = &operatorStore{Store: s.platform.Memory()}
	for _, z := range d.Zones {
		s.uplinks[z] = &uplink{}
	}
	for i, spec := range d.VMs {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
		s.vms = append(s.vms, &vm{host: &host{zone: spec.Zone, address: address},
			name: member.Name(spec.Name), capacity: spec.Capacity})
		s.platform.AddVM(store.VM{Name: spec.Name, Region: region, Zone: spec.Zone,
			Control: address, Data: address, Capacity: spec.Capacity})
	}
	putAll := func(current *tables.Snapshot) ([]tables.Operation, error) {
		return tables.Diff(current, d.Desired()), nil
	}
	if _, err := s.write(defaultAuthor, putAll); err != nil {
		return nil, err
	}
	for _, v := range s.vms {
		if err := s.startVM(v); err != nil {
			return s, err
		}
	}
	return s, nil
}

// close stops all VMs.
func (s *site) close() {
	for _, v := range s.vms {
		v.thaw()
		v.kill()
	}
}

// editor returns an editor with the call limit of knapweedshorectl.
func (s *site) editor(author string) *edit.Editor {
	budget := store.NewBudget(s.operators, store.BudgetOptions{CallsPerSecond: operatorCallsPerSecond})
	return edit.New(budget, author, metrics.NewRegistry())
}

// write applies an operator's change to the tables in the store.
func (s *site) write(author string, change edit.Change) (edit.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	r, err := s.editor(author).Write(ctx, change)
	if err == nil {
		s.lastChange = s.operators.headSwappedAt
	}
	return r, err
}

// recover renumbers the tables of a restored store above a version.
func (s *site) recover(above tables.Version) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	if _, err := s.editor(defaultAuthor).Renumber(ctx, above); err != nil {
		return err
	}
	s.lastChange = s.operators.headSwappedAt
	return nil
}

// lookupVMs returns the VMs of a zone, or the VM with the name. The name may omit
// the site's prefix, as in vm3 for quesada-vm3.
func (s *site) lookupVMs(name string) (out []*vm, err error) {
	for _, v := range s.vms {
		if v.zone == name || string(v.name) == name || strings.HasSuffix(string(v.name), "-"+name) {
			out = append(out, v)
		}
	}
	if out == nil {
		return nil, errors.Errorf("%q is neither a zone nor a VM", name)
	}
	return out, nil
}

// watcher returns the first watcher that is running and not frozen, in the given
// zone unless that is empty.
func (s *site) watcher(zone string) (*vm, error) {
	for _, v := range s.vms {
		if v.running && !v.frozen && (zone == "" || v.zone == zone) && v.table.View().ShouldWatch() {
			return v, nil
		}
	}
	return nil, errors.Errorf("zone %q has no watcher", zone)
}

// crash stops VMs without closing their connections.
func (s *site) crash(vms []*vm) {
	s.network.update(func() {
		for _, v := range vms {
			s.network.crashed[v.host] = true
		}
	})
	for _, v := range vms {
		v.kill()
	}
}

// restart starts a crashed VM.
func (s *site) restart(v *vm) error {
	if v.running {
		return errors.Errorf("VM %q is already running", v.name)
	}
	s.network.update(func() { delete(s.network.crashed, v.host) })
	return s.startVM(v)
}

// cut drops all traffic between a zone and another zone, all others or the
// platform.
func (s *site) cut(zone, from string) error {
	if s.uplinks[zone] == nil || s.uplinks[from] == nil && from != "others" && from != "platform" {
		return errors.Errorf("cannot cut %q from %q", zone, from)
	}
	if from == "platform" {
		s.uplinks[zone].setDown(true)
		return nil
	}
	s.network.update(func() {
		for _, other := range s.zones {
			if other != zone && (from == "others" || from == other) {
				s.network.cuts[[2]string{zone, other}] = true
			}
		}
	})
	return nil
}

// heal ends all cuts.
func (s *site) heal() {
	s.network.update(func() { clear(s.network.cuts) })
	for _, u := range s.uplinks {
		u.setDown(false)
	}
}
