package registry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/wait"
)

// Timing of the registration.
const (
	// RegistrationTTL is the time after which the registration of a VM that is gone
	// expires, and the longest lease that the store grants. An outdated registration
	// only costs the peers a few datagrams.
	RegistrationTTL = 10 * time.Minute
	// renewInterval is the time between renewals of the lease. Two in a row may
	// fail before it expires.
	renewInterval = 3 * time.Minute
	// registerTimeout is the timeout of a call to the store.
	registerTimeout = 2 * time.Second
	// registerRetryDelay is the pause after a failed registration. Traffic does
	// not depend on the registration.
	registerRetryDelay = 3 * time.Second
	// directoryPollInterval is the interval at which a starting daemon checks
	// whether it has read the store yet, which may hold an earlier registration.
	directoryPollInterval = 50 * time.Millisecond
	// presenceCheckInterval is the interval at which the daemon checks that the
	// directory still has its own registration: the store may drop the keys of a
	// machine without telling it, and a restore may bring back an earlier registration.
	presenceCheckInterval = 2 * time.Second
)

// Registration maintains a daemon's own entry in the store, which tells the
// other daemons its address.
type Registration struct {
	VM       directory.VM
	Source   Source
	Follower *Follower
	Log      *events.Logger
	Metrics  *metrics.Registry
}

// Run registers the daemon and renews the registration until ctx ends. It does
// not delete the registration then: most daemons are started again, and the next
// process of the VM continues to renew it.
func (r *Registration) Run(ctx context.Context) {
	// Without a configuration there is no directory yet. The daemon registers all the
	// same, so that its peers tell it of the first one.
	for r.Follower.Position().IsZero() {
		if !wait.For(ctx, directoryPollInterval) {
			return
		}
	}
	if lease, ok := r.previousLease(); ok {
		r.keepRegistered(ctx, lease)
	}
	for ctx.Err() == nil {
		lease, err := r.register(ctx)
		if err != nil {
			if ctx.Err() == nil {
				r.Metrics.Retried(reasonOf(err))
				r.Log.Log(events.RegistrationFailed, events.ErrorMessage(err))
			}
			wait.For(ctx, registerRetryDelay)
			continue
		}
		r.keepRegistered(ctx, lease)
	}
}

// previousLease returns the lease of the registration that an earlier process of
// this VM has left.
func (r *Registration) previousLease() (lease uint64, ok bool) {
	d := r.Follower.Current()
	if d == nil {
		return 0, false
	}
	vm := d.VMs()[r.VM.Addr]
	if vm == nil || vm.Lease == 0 || vm.Name != r.VM.Name || vm.Zone != r.VM.Zone {
		return 0, false
	}
	return vm.Lease, true
}

// register writes the registration with a new lease, which it returns.
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

// keepRegistered renews the lease until it has expired, the directory has no registration
// with this lease or ctx ends.
func (r *Registration) keepRegistered(ctx context.Context, lease uint64) {
	renewAt := time.Now().Add(renewInterval)
	for wait.For(ctx, presenceCheckInterval) {
		if !r.isRegistered(lease) {
			return
		}
		if time.Now().Before(renewAt) {
			continue
		}
		renewAt = time.Now().Add(renewInterval)
		if err := r.renewLease(ctx, lease); errors.Is(err, ErrLeaseExpired) {
			return
		}
	}
}

// renewLease renews the lease of the registration.
func (r *Registration) renewLease(ctx context.Context, lease uint64) error {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	r.Metrics.Count(metrics.StoreCalls, 1)
	return r.Source.RenewLease(ctx, lease)
}

// isRegistered reports whether the directory has the registration with a lease. It also
// returns true while the directory is missing or too old to tell.
func (r *Registration) isRegistered(lease uint64) bool {
	d := r.Follower.Current()
	if d == nil || r.Follower.Age(time.Now()) > presenceCheckInterval {
		return true
	}
	vm := d.VMs()[r.VM.Addr]
	return vm != nil && vm.Lease == lease
}
