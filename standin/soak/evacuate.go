package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"knapweedshore.example/internal/wait"
)

// evacuateKind is the kind of the steps that WithEvacuations adds.
const evacuateKind = "evacuate a zone"

// evacuationsPrefix precedes the zone in the key of an evacuation.
const evacuationsPrefix = "op/evacuate/"

// evacuationBound is the time within which an evacuation is in force on stable daemons.
const evacuationBound = 3 * time.Second

// WithEvacuations returns the schedule with evacuations of zones. As in WithRestores, the other
// steps of a seed do not depend on them.
func (s Schedule) WithEvacuations(seed uint64, length time.Duration, zones, evacuations int) Schedule {
	random := rand.New(rand.NewPCG(seed, 0xe7ac))
	number := len(s)
	for range evacuations {
		s = append(s, Step{
			Number: number, Kind: evacuateKind, At: time.Duration(random.Int64N(int64(length))),
			Duration: 1 + time.Duration(random.Int64N(int64(faultDuration))), Zone: random.IntN(zones), Count: 1,
		})
		number++
	}
	s.sortByTime()
	return s
}

// evacuateZone evacuates a zone for evacuationBound and the step's duration. It does nothing if
// the zone is evacuated already or a pool would have no servers left.
func evacuateZone(ctx context.Context, s *site, step Step) {
	if !s.beginEvacuation(step.Zone) {
		return
	}
	wait.For(ctx, evacuationBound+step.Duration)
	s.restoring.Lock()
	defer s.restoring.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.checker.recordEvacuation(step.Zone, false)
	delete(s.evacuated, step.Zone)
	s.store.Delete(evacuationsPrefix + zoneName(step.Zone))
}

func (s *site) beginEvacuation(zone int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuated[zone] {
		return false
	}
	s.evacuated[zone] = true
	for _, pool := range []string{counterRoute, guideRoute} {
		if s.usableServers()[pool] == 0 {
			delete(s.evacuated, zone)
			return false
		}
	}
	s.store.Put(evacuationsPrefix+zoneName(zone), []byte("{}"))
	s.checker.recordEvacuation(zone, true)
	return true
}

// usableServers returns the number of ready servers outside evacuated zones, by pool. s.mu must
// be held.
func (s *site) usableServers() map[string]int {
	usable := map[string]int{}
	for _, host := range s.servers {
		if host.ready && !s.evacuated[host.zone] {
			usable[host.backend.Pool]++
		}
	}
	return usable
}

// writeEvacuations writes the evacuations to a store that was restored. s.mu must be held.
func (s *site) writeEvacuations() {
	for zone := range s.config.Zones {
		key := evacuationsPrefix + zoneName(zone)
		if s.evacuated[zone] {
			s.store.Put(key, []byte("{}"))
		} else {
			s.store.Delete(key)
		}
	}
}

// recordEvacuation records that the evacuation of a zone begins or ends.
func (c *checker) recordEvacuation(zone int, evacuated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.evacuatedSince, zone)
	if evacuated {
		c.evacuatedSince[zone] = time.Now()
	}
}

// checkCopy checks any copy of an opening packet on its way from a daemon to a server: the
// evacuation of the server's zone must not have begun more than evacuationBound ago.
func (c *checker) checkCopy(daemon, zone int, now time.Time) {
	c.mu.Lock()
	since, evacuated := c.evacuatedSince[zone]
	broken := evacuated && now.Sub(since) > evacuationBound && c.stable(daemon, now)
	c.mu.Unlock()
	if broken {
		c.addViolation("daemon %d sent an opening packet to zone %d %s after the start of its evacuation", daemon, zone, now.Sub(since))
	}
}
