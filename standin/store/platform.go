// Package store is a stand-in for the platform store in development and tests. A
// Platform holds values with compare-and-swap, leases, watches, rate limits, a
// list of VMs that shows changes with a delay, and switches for faults. Memory
// accesses it in process, Server serves it over HTTP on loopback.
//
// For use inside a synctest bubble, the Platform must be created in the bubble.
package store

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"knapweedshore.example/internal/store"
)

// Default values of Options.
const (
	DefaultWritesPerSecond = 300
	DefaultReadsPerSecond  = 2000
	DefaultWatchWait       = store.WatchWait
)

// Options configures a Platform. Zero fields get their default values.
type Options struct {
	WritesPerSecond int
	ReadsPerSecond  int
	// WatchWait is the longest time that a watch waits for a change.
	WatchWait time.Duration
	// VMLag is the delay before a change of the list of VMs becomes visible.
	VMLag time.Duration
}

func (o Options) withDefaults() Options {
	if o.WritesPerSecond == 0 {
		o.WritesPerSecond = DefaultWritesPerSecond
	}
	if o.ReadsPerSecond == 0 {
		o.ReadsPerSecond = DefaultReadsPerSecond
	}
	if o.WatchWait == 0 {
		o.WatchWait = DefaultWatchWait
	}
	return o
}

// Platform is the state of the stand-in. It is safe for concurrent use.
type Platform struct {
	options Options
	writes  *rate.Limiter
	reads   *rate.Limiter

	mu       sync.Mutex
	values   map[string]store.Value
	revision uint64
	changed  chan struct{} // closed and replaced to wake watches
	leases   map[string]lease
	vms      []vmList // the visible list, followed by those that are not visible yet
	faults   faults
	counts   Counts
}

// vmList is a list of VMs and the time from which it is visible.
type vmList struct {
	visibleAt time.Time
	vms       []store.VM
}

// Counts are the numbers of calls of a Platform. Lists are the reads of the list of
// VMs, Reads all other reads. Throttled calls are also counted by their kind.
type Counts struct {
	Reads, Lists, Writes, Throttled int
}

// New returns an empty platform.
func New(o Options) *Platform {
	o = o.withDefaults()
	return &Platform{
		options: o,
		writes:  rate.NewLimiter(rate.Limit(o.WritesPerSecond), o.WritesPerSecond),
		reads:   rate.NewLimiter(rate.Limit(o.ReadsPerSecond), o.ReadsPerSecond),
		values:  make(map[string]store.Value),
		changed: make(chan struct{}),
		leases:  make(map[string]lease),
	}
}

// Counts returns the numbers of calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// SetVMs replaces the list of VMs. The new list is visible after Options.VMLag.
func (p *Platform) SetVMs(vms []store.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = append(p.vms, vmList{visibleAt: time.Now().Add(p.options.VMLag), vms: slices.Clone(vms)})
}

// AddVM adds a VM to the newest list or replaces the VM of that name.
func (p *Platform) AddVM(vm store.VM) { p.changeVM(vm.Name, &vm) }

// RemoveVM removes a VM from the newest list.
func (p *Platform) RemoveVM(name string) { p.changeVM(name, nil) }

func (p *Platform) changeVM(name string, vm *store.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var vms []store.VM
	if len(p.vms) > 0 {
		vms = slices.Clone(p.vms[len(p.vms)-1].vms)
	}
	vms = slices.DeleteFunc(vms, func(v store.VM) bool { return v.Name == name })
	if vm != nil {
		vms = append(vms, *vm)
	}
	p.vms = append(p.vms, vmList{visibleAt: time.Now().Add(p.options.VMLag), vms: vms})
}

// visibleVMs returns the newest visible list and drops older ones.
func (p *Platform) visibleVMs(now time.Time) []store.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.vms) > 1 && !p.vms[1].visibleAt.After(now) {
		p.vms = p.vms[1:]
	}
	if len(p.vms) == 0 || p.vms[0].visibleAt.After(now) {
		return nil
	}
	return slices.Clone(p.vms[0].vms)
}

// Backup is a copy of all values by key.
type Backup map[string][]byte

// Backup returns a copy of all values.
func (p *Platform) Backup() Backup {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := make(Backup, len(p.values))
	for k, v := range p.values {
		b[k] = v.Data
	}
	return b
}

// Restore replaces all values by those of a backup. The values get new revisions,
// as with a write, so that watches return them.
func (p *Platform) Restore(b Backup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values = make(map[string]store.Value, len(b))
	for k, data := range b {
		p.put(k, data)
	}
}

// put writes a value and wakes all watches. p.mu must be held.
func (p *Platform) put(key string, data []byte) uint64 {
	p.revision++
	p.values[key] = store.Value{Data: data, Revision: p.revision}
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision
}
