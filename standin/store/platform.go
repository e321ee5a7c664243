// Package store is a stand-in of the platform store for dev and tests: one
// state with compare-and-swap, leases, watches, rate limits, the lagging list
// of VMs and switches for faults. Memory reaches the state without sockets,
// Server over HTTP on loopback. Inside a synctest bubble, make the Platform in
// the bubble too.
package store

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"knapweedshore.example/internal/store"
)

// Default options of a Platform.
const (
	DefaultWritesPerSecond = 300
	DefaultReadsPerSecond  = 2000
	DefaultWatchWait       = store.WatchWait
)

// Options configures a Platform. Zero fields get their defaults.
type Options struct {
	WritesPerSecond int
	ReadsPerSecond  int
	// WatchWait is how long a watch waits at most.
	WatchWait time.Duration
	// VMLag is how long a change of the list of VMs stays invisible.
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
	changed  chan struct{} // closed and replaced at each write
	leases   map[string]lease
	vms      []vmList // the visible list first, then those that are not visible yet
	faults   faults
	counts   Counts
}

type vmList struct {
	visible time.Time
	vms     []store.VM
}

// Counts says how often the platform was called.
type Counts struct {
	Reads, Writes, Throttled int
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

// Counts returns the calls so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// SetVMs replaces the list of VMs; callers see it after Options.VMLag.
func (p *Platform) SetVMs(vms []store.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = append(p.vms, vmList{visible: time.Now().Add(p.options.VMLag), vms: slices.Clone(vms)})
}

// AddVM adds a VM to the newest list, or replaces the one with its name.
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
	p.vms = append(p.vms, vmList{visible: time.Now().Add(p.options.VMLag), vms: vms})
}

func (p *Platform) visibleVMs(now time.Time) []store.VM {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.vms) > 1 && !p.vms[1].visible.After(now) {
		p.vms = p.vms[1:]
	}
	if len(p.vms) == 0 || p.vms[0].visible.After(now) {
		return nil
	}
	return slices.Clone(p.vms[0].vms)
}

// Backup is a copy of all values at one moment.
type Backup map[string][]byte

// Backup copies all values.
func (p *Platform) Backup() Backup {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := make(Backup, len(p.values))
	for k, v := range p.values {
		b[k] = v.Data
	}
	return b
}

// Restore replaces all values by those of a backup. Like writes, restored
// values get new revisions, so watches see them.
func (p *Platform) Restore(b Backup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values = make(map[string]store.Value, len(b))
	for k, data := range b {
		p.put(k, data)
	}
}

// put writes a value and wakes all watches; p.mu is held.
func (p *Platform) put(key string, data []byte) uint64 {
	p.revision++
	p.values[key] = store.Value{Data: data, Revision: p.revision}
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision
}
