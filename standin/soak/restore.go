package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"knapweedshore.example/internal/wait"
	"knapweedshore.example/standin/platform"
)

// restoreKind is the kind of the steps that WithRestores adds.
const restoreKind = "restore the store"

// Times of a restore.
const (
	// backupAgeUnit is multiplied by the count of a step to get the age of the backup.
	backupAgeUnit = 1500 * time.Millisecond
	// lostChanges is the number of changes of the configuration in each unit, which the
	// backup lacks.
	lostChanges = 4
	// maxRestoreTime limits how long the store is away.
	maxRestoreTime = 2 * time.Second
)

// WithRestores returns the schedule with restores of the store from backups. They come
// from a random sequence of their own and last in number, so that the other steps of a
// seed do not depend on them.
func (s Schedule) WithRestores(seed uint64, length time.Duration, restores int) Schedule {
	random := rand.New(rand.NewPCG(seed, 0x2e57))
	number := len(s)
	for range restores {
		s = append(s, Step{
			Number: number, Kind: restoreKind, At: time.Duration(random.Int64N(int64(length))),
			Duration: 1 + time.Duration(random.Int64N(int64(maxRestoreTime))), Server: random.IntN(1 << 16), Count: 1 + random.IntN(4),
		})
		number++
	}
	s.sortByTime()
	return s
}

// restoreStore restores the store and changes the configuration once the daemons are stable
// again.
func restoreStore(ctx context.Context, s *site, step Step) {
	s.restoreFromBackup(ctx, step)
	wait.For(ctx, recoveryTime)
	changeConfig(ctx, s, step)
}

// restoreFromBackup makes a backup of the store, takes the store away some seconds later
// and brings it back from the backup. The operator and the servers write again what it
// lacks.
func (s *site) restoreFromBackup(ctx context.Context, step Step) {
	s.restoring.Lock()
	defer s.restoring.Unlock()
	backup := s.store.Backup()
	for i := range step.Count * lostChanges {
		s.configure(i%2 == 0)
		wait.For(ctx, backupAgeUnit/lostChanges)
	}
	defer s.checker.impair(storeNode)()
	for _, e := range s.endpoints {
		e.SetFault(storeOutages[step.Server%len(storeOutages)])
	}
	wait.For(ctx, step.Duration)
	s.mu.Lock()
	s.store.Restore(backup)
	s.store.Put(configKey, s.configValue)
	s.writeEvacuations()
	s.mu.Unlock()
	for _, e := range s.endpoints {
		e.SetFault(platform.NoFault)
	}
	wait.For(ctx, maxReregistrationDelay*time.Duration(step.Count)/4)
	s.registerAgain(backup)
	// The registrations of servers that have left expire.
	wait.For(ctx, registrationTTL)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range backup.Keys(serversPrefix) {
		if s.registered[key] == nil {
			s.store.Delete(key)
		}
	}
}

// register writes the registration of a server.
func (s *site) register(b *platform.Backend, state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registerLocked(b, state)
}

// registerLocked is register for callers that hold s.mu.
func (s *site) registerLocked(b *platform.Backend, state string) {
	s.registered[b.Key()] = &registration{b, state}
	s.store.Put(b.Key(), b.Registration(state))
}

// unregister removes the registration of a server that has left or crashed.
func (s *site) unregister(b *platform.Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.registered, b.Key())
	s.store.Delete(b.Key())
}

// registration is what a server registers.
type registration struct {
	backend *platform.Backend
	state   string
}

// registerAgain lets the servers write the registrations that differ from those in a
// backup. A server does not write one that has changed in nothing but its count.
func (s *site) registerAgain(b platform.Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, r := range s.registered {
		if !r.backend.Registered(b.Value(key), r.state) {
			s.store.Put(key, r.backend.Registration(r.state))
		}
	}
}
