package site

import (
	"slices"
	"strings"
	"time"

	"knapweedshore.example/peerapi"
	"knapweedshore.example/standin/backend"
	"knapweedshore.example/standin/caller"
	"knapweedshore.example/standin/fabric"
)

// Names of daemon counters in their status.
const (
	refusedPrefix    = "refused."
	forwardedCounter = "total.packets_forwarded"
)

// Summary is what a run measured.
type Summary struct {
	Site  string      `json:"site"`
	Seed  uint64      `json:"seed"`
	Flows FlowSummary `json:"flows"`
	// Services has the flows of each service.
	Services  map[string]FlowSummary `json:"services"`
	Pools     []PoolSummary          `json:"pools"`
	Balancers []BalancerSummary      `json:"balancers"`
	Packets   fabric.Counts          `json:"packets"`
	// SecondHopShare is the share of the packets from balancers that came from
	// another balancer than the one which the fabric had chosen.
	SecondHopShare float64 `json:"second_hop_share"`
	// Refusals sums the daemons' refusal counters.
	Refusals map[string]int64 `json:"refusals"`
	// Violations are the first ones, ViolationCount counts all.
	Violations     []fabric.Violation `json:"violations"`
	ViolationCount int                `json:"violation_count"`
	// AfterCrash is how many of the listed violations came within crashEffect
	// after the crash. They count like the others.
	AfterCrash int `json:"after_crash"`
	// LeaveError tells why the leaving balancer did not leave in order.
	LeaveError string `json:"leave_error,omitempty"`
}

// FlowSummary counts flows by how they ended.
type FlowSummary struct {
	Opened    int                   `json:"opened"`
	Completed int                   `json:"completed"`
	Refused   map[caller.Reason]int `json:"refused,omitempty"`
	Broken    map[caller.Reason]int `json:"broken,omitempty"`
	// OpenAtCrash counts flows that were open when the balancer was killed;
	// BrokenByCrash counts broken flows that the crash explains.
	OpenAtCrash   int `json:"open_at_crash"`
	BrokenByCrash int `json:"broken_by_crash"`
	// Skipped counts flows that were not opened because too many were open.
	Skipped int `json:"skipped"`
	// CheckP50 and CheckP99 are latencies of checks, opening included for the
	// first one of an HTTP/3 flow.
	CheckP50 time.Duration `json:"check_p50_ns"`
	CheckP99 time.Duration `json:"check_p99_ns"`
	// Checks has the latency of every check, sorted.
	Checks []time.Duration `json:"-"`
}

// PoolSummary is the load of one pool.
type PoolSummary struct {
	Pool string `json:"pool"`
	// Imbalance is the maximum over the mean of the servers' utilisation, the
	// mean weighted by their speeds: 1 is a perfect distribution of the same
	// work. A draining server does not count.
	Imbalance float64 `json:"imbalance"`
	// WindowP99 is the 99th percentile of the imbalance in windows of 0.5 s, of
	// which Windows had work; with fewer than 100 it is their maximum.
	WindowP99 float64         `json:"window_p99"`
	Windows   int             `json:"windows"`
	Servers   []ServerSummary `json:"servers"`
}

// ServerSummary is the load of one server.
type ServerSummary struct {
	Server string  `json:"server"`
	Speed  float64 `json:"speed"`
	// Utilisation is the share of its slots' time that the server was busy.
	Utilisation float64 `json:"utilisation"`
	Flows       int64   `json:"flows"`
	Drained     bool    `json:"drained,omitempty"`
}

// BalancerSummary is what one balancer did.
type BalancerSummary struct {
	Name     string                `json:"name"`
	Zone     string                `json:"zone"`
	Capacity uint32                `json:"capacity"`
	State    string                `json:"state"`
	Packets  fabric.BalancerCounts `json:"packets"`
	// Forwarded counts packets that it sent to another balancer.
	Forwarded          int64   `json:"forwarded"`
	ControlBytesPerSec float64 `json:"control_bytes_per_second"`
}

// OK reports whether no promise was broken.
func (s *Summary) OK() bool { return s.ViolationCount == 0 }

func (r *run) summary() *Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &Summary{
		Site: r.config.Site.Name, Seed: r.config.Seed, Services: make(map[string]FlowSummary),
		Packets: r.environment.fabric.Counts(), Refusals: make(map[string]int64),
	}
	if s.Packets.FromBalancers > 0 {
		s.SecondHopShare = float64(s.Packets.SecondHop) / float64(s.Packets.FromBalancers)
	}
	if r.changes.leaveErr != nil {
		s.LeaveError = r.changes.leaveErr.Error()
	}
	r.check(s)
	for _, service := range r.config.Site.Services {
		s.Pools = append(s.Pools, r.pool(service))
	}
	for _, m := range r.members {
		s.Balancers = append(s.Balancers, r.balancer(m, s.Refusals))
	}
	return s
}

// check counts the flows and lists the violations.
func (r *run) check(s *Summary) {
	c := &checker{changes: r.changes, executions: r.environment.executions}
	s.Flows.Skipped = r.skipped
	for _, result := range r.results {
		c.flow(result)
		byCrash := c.byCrash(result)
		service := s.Services[result.service]
		service.add(result, byCrash, r.changes.killed)
		s.Services[result.service] = service
		s.Flows.add(result, byCrash, r.changes.killed)
	}
	for name, f := range s.Services {
		f.setPercentiles()
		s.Services[name] = f
	}
	s.Flows.setPercentiles()
	c.servers(r.serverStats())
	seen, count := r.environment.fabric.Ledger().Violations()
	s.Violations = append(c.violations, seen...)
	s.ViolationCount = len(c.violations) + count
	for _, v := range s.Violations {
		if c.crashEffectAt(v.At) {
			s.AfterCrash++
		}
	}
}

func (f *FlowSummary) add(r flowResult, byCrash bool, killed time.Time) {
	f.Opened++
	switch r.Outcome {
	case caller.Completed:
		f.Completed++
	case caller.Refused:
		count(&f.Refused, r.Reason)
	default:
		count(&f.Broken, r.Reason)
		if byCrash {
			f.BrokenByCrash++
		}
	}
	if !killed.IsZero() && overlaps(r, killed, killed) {
		f.OpenAtCrash++
	}
	for i, latency := range r.Latencies {
		if r.Requests[i].Operation == backend.Check {
			f.Checks = append(f.Checks, latency)
		}
	}
}

func count(m *map[caller.Reason]int, reason caller.Reason) {
	if *m == nil {
		*m = make(map[caller.Reason]int)
	}
	(*m)[reason]++
}

func (f *FlowSummary) setPercentiles() {
	if len(f.Checks) == 0 {
		return
	}
	slices.Sort(f.Checks)
	f.CheckP50 = f.Checks[len(f.Checks)/2]
	f.CheckP99 = f.Checks[len(f.Checks)*99/100]
}

func (r *run) pool(s Service) PoolSummary {
	p := PoolSummary{Pool: s.Name}
	for _, server := range s.Servers {
		from, to := r.busyFrom[s.Name][server.Name], r.busyTo[s.Name][server.Name]
		summary := ServerSummary{
			Server: server.Name, Speed: server.Speed, Flows: to.Accepted,
			Drained: s.Name == r.changes.drainedPool && server.Name == r.changes.drainedServer,
		}
		if r.measured > 0 {
			summary.Utilisation = float64(to.Busy-from.Busy) / float64(r.measured) / backend.DefaultSlots
		}
		p.Servers = append(p.Servers, summary)
	}
	p.Imbalance = p.imbalance(r.busyFrom[s.Name], r.busyTo[s.Name])
	p.setWindows(r.windows)
	return p
}

// balancer reads the newest status; a dead balancer's is the one before its
// end.
func (r *run) balancer(m *instance, refusals map[string]int64) BalancerSummary {
	status := m.last
	if m.state == running || m.state == joined || m.state == leaving {
		status = m.balancer.Status()
	}
	b := BalancerSummary{
		Name: m.vm.Name, Zone: m.vm.Zone, Capacity: m.vm.Capacity, State: string(m.state),
		Packets: r.environment.fabric.BalancerCounts()[m.balancer.DataAddress()], Forwarded: counter(status, forwardedCounter),
	}
	if up := float64(status.GetUptimeMs()) / 1000; up > 0 {
		b.ControlBytesPerSec = float64(status.GetControlBytesSent()) / up
	}
	for _, c := range status.GetCounters() {
		if reason, ok := strings.CutPrefix(c.GetName(), refusedPrefix); ok {
			refusals[reason] += c.GetValue()
		}
	}
	return b
}

func counter(s *peerapi.StatusResponse, name string) int64 {
	for _, c := range s.GetCounters() {
		if c.GetName() == name {
			return c.GetValue()
		}
	}
	return 0
}
