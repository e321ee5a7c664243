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
	standin "knapweedshore.example/standin/store"
)

const (
	// contactCount is how many VMs the settings of all others name.
	contactCount = 4
	// operatorCalls and operatorTimeout are those of the operators' command.
	operatorCalls   = 20
	operatorTimeout = 15 * time.Second
	// defaultAuthor writes the changes of commands that name no operator.
	defaultAuthor = "ana"
)

// site is a region of control planes with its platform.
type site struct {
	region    string
	zones     []string
	platform  *standin.Platform
	authority *peer.Authority
	network   *network
	uplinks   map[string]*uplink
	vms       []*vm
	operators *operatorStore
	backup    standin.Backup

	// mark is when the last write was accepted or the last fault began; bounds
	// count from it.
	mark time.Time
	// calls are the store calls before the last store command, made at called.
	calls  standin.Counts
	called time.Time
}

// newSite starts the VMs of a region and writes the first tables.
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
		platform: standin.New(standin.Options{}), uplinks: make(map[string]*uplink), mark: time.Now()}
	s.operators = &operatorStore{Store: s.platform.Memory()}
	for _, z := range d.Zones {
		s.uplinks[z] = &uplink{}
	}
	for i, described := range d.VMs {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
		s.vms = append(s.vms, &vm{host: &host{zone: described.Zone, address: address},
			name: member.Name(described.Name), capacity: described.Capacity})
		s.platform.AddVM(store.VM{Name: described.Name, Region: region, Zone: described.Zone,
			Control: address, Data: address, Capacity: described.Capacity})
	}
	install := func(current *tables.Snapshot) ([]tables.Operation, error) {
		return tables.Diff(current, d.Desired()), nil
	}
	if _, err := s.write(defaultAuthor, install); err != nil {
		return nil, err
	}
	for _, v := range s.vms {
		if err := s.startVM(v); err != nil {
			return s, err
		}
	}
	return s, nil
}

// close ends all VMs.
func (s *site) close() {
	for _, v := range s.vms {
		v.thaw()
		v.end()
	}
}

// editor returns an editor with the limits of the operators' command.
func (s *site) editor(author string) *edit.Editor {
	budget := store.NewBudget(s.operators, store.BudgetOptions{CallsPerSecond: operatorCalls})
	return edit.New(budget, author, metrics.NewRegistry())
}

// write carries out an operator's change.
func (s *site) write(author string, change edit.Change) (edit.Result, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	r, err := s.editor(author).Write(ctx, change)
	if err == nil {
		s.mark = s.operators.written
	}
	return r, err
}

func (s *site) recover(above tables.Version) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	if _, err := s.editor(defaultAuthor).Renumber(ctx, above); err != nil {
		return err
	}
	s.mark = s.operators.written
	return nil
}

// named returns the VMs that a zone or a VM's name stands for. A VM may be
// named without the site's prefix.
func (s *site) named(name string) (out []*vm, err error) {
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

// watcher returns the first live watcher, of one zone unless it is empty.
func (s *site) watcher(zone string) (*vm, error) {
	for _, v := range s.vms {
		if v.alive && !v.frozen && (zone == "" || v.zone == zone) && v.table.View().ShouldWatch() {
			return v, nil
		}
	}
	return nil, errors.Errorf("zone %q has no watcher", zone)
}

func (s *site) crash(vms []*vm) {
	s.network.change(func() {
		for _, v := range vms {
			s.network.crashed[v.host] = true
		}
	})
	for _, v := range vms {
		v.end()
	}
}

func (s *site) restart(v *vm) error {
	if v.alive {
		return errors.Errorf("%q is running", v.name)
	}
	s.network.change(func() { delete(s.network.crashed, v.host) })
	return s.startVM(v)
}

// cut separates a zone from another one, from all others or from the platform.
func (s *site) cut(zone, from string) error {
	if s.uplinks[zone] == nil || s.uplinks[from] == nil && from != "others" && from != "platform" {
		return errors.Errorf("cannot cut %q from %q", zone, from)
	}
	if from == "platform" {
		s.uplinks[zone].set(true)
		return nil
	}
	s.network.change(func() {
		for _, other := range s.zones {
			if other != zone && (from == "others" || from == other) {
				s.network.cuts[[2]string{zone, other}] = true
			}
		}
	})
	return nil
}

func (s *site) heal() {
	s.network.change(func() { clear(s.network.cuts) })
	for _, u := range s.uplinks {
		u.set(false)
	}
}
