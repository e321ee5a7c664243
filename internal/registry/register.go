package registry

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/wait"
)

// Times of a registration.
const (
	// RegistrationTTL is how long the registration of a VM that is gone stays:
	// the longest lease. Peers only waste a few datagrams on it.
	RegistrationTTL = 10 * time.Minute
	// renewInterval leaves time for two failed renewals.
	renewInterval = 3 * time.Minute
	// registerTimeout bounds a call.
	registerTimeout = 2 * time.Second
	// registerRetry is the pause after a failed call. Traffic does not depend
	// on the registration.
	registerRetry = 3 * time.Second
	// directoryPoll is how often a starting daemon looks for its directory, which
	// may hold an earlier registration.
	directoryPoll = 50 * time.Millisecond
	// lostInterval is how often the daemon looks for its own registration in the
	// directory: the store may take the keys of a machine away unnoticed.
	lostInterval = 2 * time.Second
)

// Registration keeps a daemon's own entry in the store, by which the others
// find it.
type Registration struct {
	VM       directory.VM
	Source   Source
	Follower *Follower
	Log      *events.Logger
	Metrics  *metrics.Registry
}

// Run keeps the entry until ctx ends. The entry of a daemon that ends stays
// until its lease ends, because most are started again; the next process of the
// VM goes on with it.
func (r *Registration) Run(ctx context.Context) {
	for r.Follower.Current() == nil {
		if !wait.For(ctx, directoryPoll) {
			return
		}
	}
	if lease, ok := r.earlier(); ok {
		r.hold(ctx, lease)
	}
	for ctx.Err() == nil {
		lease, err := r.register(ctx)
		if err != nil {
			if ctx.Err() == nil {
				r.Metrics.Retried(reasonOf(err))
				r.Log.Log(events.RegistrationFailed, events.Cause(err))
			}
			wait.For(ctx, registerRetry)
			continue
		}
		r.hold(ctx, lease)
	}
}

// earlier returns the lease of the entry that an earlier process of this VM has
// written.
func (r *Registration) earlier() (lease uint64, ok bool) {
	vm := r.Follower.Current().VMs()[r.VM.Addr]
	if vm == nil || vm.Lease == 0 || vm.Name != r.VM.Name || vm.Zone != r.VM.Zone {
		return 0, false
	}
	return vm.Lease, true
}

func (r *Registration) register(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	value, err := json.Marshal(vmRecord{Name: r.VM.Name, Zone: r.VM.Zone})
	if err != nil {
		return 0, errors.Wrap(err, "encode registration")
	}
	r.Metrics.Count(metrics.StoreCalls, 2)
	lease, err := r.Source.CreateLease(ctx, RegistrationTTL)
	if err != nil {
		return 0, err
	}
	return lease, r.Source.Put(ctx, vmKey(r.VM.Addr), value, lease)
}

// hold renews the lease until it has ended or the entry has vanished.
func (r *Registration) hold(ctx context.Context, lease uint64) {
	renew := time.Now().Add(renewInterval)
	for wait.For(ctx, lostInterval) {
		if !r.present(r.VM.Addr) {
			return
		}
		if time.Now().Before(renew) {
			continue
		}
		renew = time.Now().Add(renewInterval)
		if err := r.keep(ctx, lease); errors.Is(err, ErrLeaseExpired) {
			return
		}
	}
}

func (r *Registration) keep(ctx context.Context, lease uint64) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	r.Metrics.Count(metrics.StoreCalls, 1)
	return r.Source.RenewLease(ctx, lease)
}

// present reports whether the directory has the entry, or is too old to tell.
func (r *Registration) present(addr netip.Addr) bool {
	d := r.Follower.Current()
	if d == nil || r.Follower.Age(time.Now()) > lostInterval {
		return true
	}
	return d.VMs()[addr] != nil
}
