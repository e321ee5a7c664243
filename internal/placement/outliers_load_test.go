package placement

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/evidence"
)

// comparingPolicy is a placerPolicy that pools the results of requests over the daemons of
// its zone, as reports do: each daemon tells a few others at a time.
type comparingPolicy struct {
	placerPolicy
	// unsafe is the route of requests that must not be repeated.
	unsafe *directory.Route
	zone   string
	// tally is nil for a daemon that does not compare servers.
	tally  *evidence.OutcomeTally
	random *rand.Rand
	ticks  int
	// order holds the daemons of the zone that have not been told in this round.
	order []*comparingPolicy
}

const (
	// toldAtOnce is the number of daemons that a report goes to, and ticksPerReport the
	// number of reportIntervals between two reports, as in large zones.
	toldAtOnce     = 4
	ticksPerReport = 5
	// reportedServers is the number of servers in a report.
	reportedServers = 8
	modelZones      = 3
)

func (c *comparingPolicy) choose(key uint64, now time.Time) (int, func(time.Time, bool), func()) {
	route := c.route
	if !idempotent(key) {
		route = c.unsafe
	}
	s, ticket := c.placer.Choose(Request{Route: route, Candidates: c.candidates, Now: now})
	return int(s.Number), func(end time.Time, failed bool) {
		c.placer.MarkRequestSent(ticket, now)
		if c.tally == nil {
			c.placer.Done(ticket, end)
			return
		}
		if failed {
			c.tally.Add(s.Cookie, evidence.Failed, end)
			c.placer.Fail(ticket, end)
			return
		}
		c.tally.Add(s.Cookie, evidence.Timely, end)
		c.placer.Done(ticket, end)
	}, func() { c.placer.Abandon(ticket) }
}

func (c *comparingPolicy) report(all []policy, self int, now time.Time) {
	if c.ticks++; c.ticks%ticksPerReport != 0 {
		return
	}
	load := c.placer.Load(now)
	report := evidence.Report{}
	if c.tally != nil {
		c.tally.AddTo(&report, true, now)
		c.tally.Expire(now)
	}
	report.Outcomes = report.Outcomes[:min(reportedServers, len(report.Outcomes))]
	from := evidence.Peer{Addr: netip.AddrFrom4([4]byte{10, 0, 0, byte(self)}), Zone: c.zone}
	for range toldAtOnce {
		if len(c.order) == 0 {
			for i, other := range all {
				if o := other.(*comparingPolicy); i != self && o.zone == c.zone {
					c.order = append(c.order, o)
				}
			}
			c.random.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
		}
		if len(c.order) == 0 {
			return
		}
		other := c.order[0]
		c.order = c.order[1:]
		other.placer.SetPeerLoad(fmt.Sprint(self), load, now)
		if other.tally != nil {
			other.tally.Record(from, report, now)
		}
	}
}

// newComparingPolicies returns one Placer per daemon, in three zones.
func newComparingPolicies(m model, seed uint64, compares bool) []policy {
	var out []policy
	for d := range m.daemons {
		zone := fmt.Sprint("z", d%modelZones)
		c := &comparingPolicy{zone: zone, random: rand.New(rand.NewPCG(seed, uint64(d)))}
		c.placer = New(zone, seed+uint64(d))
		c.route = &directory.Route{Name: "r", Timeout: 2 * time.Second, Idempotent: true}
		c.unsafe = &directory.Route{Name: "u", Timeout: 2 * time.Second}
		if compares {
			c.tally = evidence.NewOutcomeTally(zone, nil)
			c.placer.SetOutcomes(c.tally)
		}
		for i := range m.servers {
			c.candidates = append(c.candidates, &directory.Server{
				Name: fmt.Sprint(i), Number: uint64(i), Cookie: directory.Cookie(i + 1), Pool: "p", Zone: fmt.Sprint("z", i%modelZones), Slots: modelSlots,
			})
		}
		out = append(out, c)
	}
	return out
}

// fleets are pools under their usual load, about half of what the servers can do.
var fleets = map[string]model{
	"8 daemons":   {daemons: 8, servers: 15, speeds: []float64{1}, requestsPerSecond: 400},
	"62 daemons":  {daemons: 62, servers: 120, speeds: []float64{0.7, 0.7, 1.7}, requestsPerSecond: 1500},
	"109 daemons": {daemons: 109, servers: 120, speeds: []float64{0.7, 0.7, 1.7}, requestsPerSecond: 1500},
}

const (
	greyFrom, greyUntil = 2 * time.Second, 8 * time.Second
	// recoveryTime is how long it may take until servers that have recovered serve as before.
	recoveryTime = 11 * time.Second
)

// isGrey reports whether a server is one of the fifth that fails.
func isGrey(server int) bool { return server%5 == 0 }

// greyShare is the share of the requests that grey servers fail, maxOrdinaryShare that of the
// short answers up to which a route's short answers count as failures.
const greyShare, maxOrdinaryShare = 0.5, 0.3

// maxFailedShare is the greatest part of all requests that may fail, the target for servers
// a fifth of which fails.
const maxFailedShare = 0.005

// playFleet plays a fleet without and with the comparison of servers. policies is set to the
// daemons of the second run.
func playFleet(m model, duration time.Duration, policies *[]policy, failShare func(server, daemon int, now time.Duration) float64) (without, with outcome) {
	m.serviceTime, m.target, m.duration, m.failShare = 40*time.Millisecond, 300*time.Millisecond, duration, failShare
	without = m.run(9, newComparingPolicies(m, 9, false))
	*policies = newComparingPolicies(m, 9, true)
	return without, m.run(9, *policies)
}

// failingServers returns how many servers get fewer flows than usual from a daemon.
func failingServers(p policy, now time.Duration) int {
	return len(p.(*comparingPolicy).placer.Failing(epoch.Add(now)))
}

// Guards against servers that fail half of their requests at once and therefore draw
// flows. After they have recovered, they must serve again.
func TestFailingServersGetFewFlows(t *testing.T) {
	for name, m := range fleets {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var policies []policy
			without, with := playFleet(m, greyUntil+recoveryTime, &policies, func(server, _ int, now time.Duration) float64 {
				if isGrey(server) && now >= greyFrom && now < greyUntil {
					return greyShare
				}
				return 0
			})
			t.Logf("failed: %.4f without the comparison, %.4f with it; late or lost: %.4f, %.4f", without.failedShare(), with.failedShare(), without.lateShare(), with.lateShare())
			if with.failedShare() > maxFailedShare {
				t.Errorf("%.4f of the requests failed", with.failedShare())
			}
			if with.lateShare() > without.lateShare()+0.005 {
				t.Errorf("%.4f late or lost, without the comparison %.4f", with.lateShare(), without.lateShare())
			}
			failing := 0
			for _, p := range policies {
				failing += failingServers(p, greyUntil+recoveryTime)
			}
			if failing > 0 {
				t.Errorf("servers are taken for failing %d times after they have recovered", failing)
			}
		})
	}
}

// Guards against condemning servers for the callers of all zones when they fail those of
// one zone only.
func TestServersThatFailOneZoneServeTheOthers(t *testing.T) {
	for name, m := range fleets {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			failing := map[bool]int{}
			var policies []policy
			without, with := playFleet(m, greyUntil, &policies, func(server, daemon int, now time.Duration) float64 {
				if now < greyFrom || now >= greyUntil {
					return 0
				}
				victim := daemon%modelZones == 0
				if policies != nil && now > greyFrom+2*time.Second {
					failing[victim] += failingServers(policies[daemon], now)
				}
				if victim && isGrey(server) {
					return greyShare
				}
				return 0
			})
			t.Logf("failed: %.4f without the comparison, %.4f with it", without.failedShare(), with.failedShare())
			if with.failedShare() > maxFailedShare || failing[true] == 0 || failing[false] > 0 {
				t.Errorf("%.4f failed; taken for failing in the zone %d times, in others %d", with.failedShare(), failing[true], failing[false])
			}
		})
	}
}

// Guards against judging servers by what all of them do: a fault of the whole pool, or a route
// many of whose answers are short by nature. The rest would get the load of the condemned.
func TestWhatAllServersDoCondemnsNone(t *testing.T) {
	for name, m := range fleets {
		for _, share := range []float64{maxOrdinaryShare, greyShare} {
			if share == maxOrdinaryShare && m.daemons > 100 {
				continue // the next smaller fleet shows the same, in half of the time
			}
			t.Run(fmt.Sprint(name, ", ", share), func(t *testing.T) {
				t.Parallel()
				failing, looks := 0, 0
				var policies []policy
				without, with := playFleet(m, greyUntil, &policies, func(_, daemon int, now time.Duration) float64 {
					if now < greyFrom {
						return 0
					}
					if policies != nil {
						failing += failingServers(policies[daemon], now)
						looks++
					}
					return share
				})
				mean := float64(failing) / float64(looks)
				t.Logf("%.3f of %d servers taken for failing; late or lost: %.4f without the comparison, %.4f with it", mean, m.servers, without.lateShare(), with.lateShare())
				if mean > 0.01*float64(m.servers) || with.lateShare() > without.lateShare()+0.005 {
					t.Errorf("%.3f servers taken for failing, %.4f late or lost instead of %.4f", mean, with.lateShare(), without.lateShare())
				}
			})
		}
	}
}
