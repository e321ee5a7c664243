package store

import (
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/store"
)

type lease struct {
	holder  string
	expires time.Time
}

// AcquireLease takes or renews a lease. It returns store.ErrConflict while
// another holder has it. Writes of values do not depend on leases.
func (p *Platform) AcquireLease(name, holder string, ttl time.Duration) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if l, ok := p.leases[name]; ok && l.holder != holder && l.expires.After(now) {
		return errors.Wrapf(store.ErrConflict, "lease %q is held by %q", name, l.holder)
	}
	p.leases[name] = lease{holder: holder, expires: now.Add(ttl)}
	return nil
}

// LeaseHolder returns the holder of a lease, and whether the lease is held now.
func (p *Platform) LeaseHolder(name string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l, ok := p.leases[name]
	return l.holder, ok && l.expires.After(time.Now())
}

// ExpireLease ends a lease without telling its holder.
func (p *Platform) ExpireLease(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.leases, name)
}
