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

// Names of counters in a daemon's status.
const (
	refusedPrefix    = "refused."
	forwardedCounter = "total.packets_forwarded"
)

// Summary is the result of a run.
type Summary struct {
	Site  string      `json:"site"`
	Seed  uint64      `json:"seed"`
	Flows FlowSummary `json:"flows"`
	// Services has the flows by service.
	Services  map[string]FlowSummary `json:"services"`
	Pools     []PoolSummary          `json:"pools"`
	Balancers []BalancerSummary      `json:"balancers"`
	Packets   fabric.Counts          `json:"packets"`
	// SecondHopShare is the share of the packets from balancers that were sent by
	// a different balancer than the one that received them from the fabric.
	SecondHopShare float64 `json:"second_hop_share"`
	// Refusals has the sums of the daemons' refusal counters by reason.
	Refusals map[string]int64 `json:"refusals"`
	// Violations lists the first violations; ViolationCount counts all.
	Violations     []fabric.Violation `json:"violations"`
	ViolationCount int                `json:"violation_count"`
	// Limited lists observations that a limit of the design explains. They are not
	// violations.
	Limited []fabric.Violation `json:"limited,omitempty"`
	// AfterCrash is the number of listed violations within crashImpactPeriod after
	// the crash. ViolationCount includes them.
	AfterCrash int `json:"after_crash"`
	// LeaveError is the first error of a balancer that failed to leave.
	LeaveError string `json:"leave_error,omitempty"`
}

// FlowSummary counts flows by outcome.
type FlowSummary struct {
	Opened    int                   `json:"opened"`
	Completed int                   `json:"completed"`
	Refused   map[caller.Reason]int `json:"refused,omitempty"`
	Broken    map[caller.Reason]int `json:"broken,omitempty"`
	// OpenAtCrash counts flows that were open when the balancer was killed;
	// BrokenByCrash counts broken flows that the crash explains.
	OpenAtCrash   int `json:"open_at_crash"`
	BrokenByCrash int `json:"broken_by_crash"`
	// Skipped counts flows that were not opened because of maxOpenFlows.
	Skipped int `json:"skipped"`
	// CheckP50 and CheckP99 are percentiles of the latencies of checks. The first
	// check of an HTTP/3 flow includes the handshake.
	CheckP50 time.Duration `json:"check_p50_ns"`
	CheckP99 time.Duration `json:"check_p99_ns"`
	// Checks has the latencies of all checks in ascending order.
	Checks []time.Duration `json:"-"`
}

// PoolSummary is the load of one pool.
type PoolSummary struct {
	Pool string `json:"pool"`
	// Imbalance is the maximum of the servers' utilisations divided by their mean,
	// which is weighted by speed: 1 is a perfect distribution. Drained servers are
	// excluded.
	Imbalance float64 `json:"imbalance"`
	// WindowP99 is the 99th percentile of the imbalance in windows of 0.5 s.
	// Windows is the number of windows with work; with fewer than 100, WindowP99 is
	// their maximum.
	WindowP99 float64         `json:"window_p99"`
	Windows   int             `json:"windows"`
	Servers   []ServerSummary `json:"servers"`
}

// ServerSummary is the load of one server.
type ServerSummary struct {
	Server string  `json:"server"`
	Speed  float64 `json:"speed"`
	// Utilisation is the share of time that the server's slots were busy.
	Utilisation float64 `json:"utilisation"`
	Flows       int64   `json:"flows"`
	Drained     bool    `json:"drained,omitempty"`
}

// BalancerSummary is the state and traffic of one balancer.
type BalancerSummary struct {
	Name     string                `json:"name"`
	Zone     string                `json:"zone"`
	Capacity uint32                `json:"capacity"`
	State    string                `json:"state"`
	Packets  fabric.BalancerCounts `json:"packets"`
	// Forwarded counts packets that the balancer sent to another balancer.
	Forwarded          int64   `json:"forwarded"`
	ControlBytesPerSec float64 `json:"control_bytes_per_second"`
}

// OK reports whether the run had no violations.
func (s *Summary) OK() bool { return s.ViolationCount == 0 }

func (r *run) summary() *Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &Summary{
		Site: r.config.Site.Name, Seed: r.config.Seed, Services: make(map[string]FlowSummary),
		Packets: r.env.fabric.Counts(), Refusals: make(map[string]int64),
	}
	if s.Packets.FromBalancers > 0 {
		s.SecondHopShare = float64(s.Packets.SecondHop) / float64(s.Packets.FromBalancers)
	}
	if r.changes.leaveErr != nil {
		s.LeaveError = r.changes.leaveErr.Error()
	}
	r.addFlowsAndViolations(s)
	for _, service := range r.config.Site.Services {
		s.Pools = append(s.Pools, r.poolSummary(service))
	}
	for _, m := range r.instances {
		s.Balancers = append(s.Balancers, r.balancerSummary(m, s.Refusals))
	}
	return s
}

// addFlowsAndViolations adds the flow counts and the violations to s.
func (r *run) addFlowsAndViolations(s *Summary) {
	c := newChecker(r.changes, r.env.executions)
	s.Flows.Skipped = r.skipped
	services := make(map[string]Service)
	for _, service := range r.config.Site.Services {
		services[service.Name] = service
	}
	for _, result := range r.results {
		c.checkFlow(result)
		c.recordIfUnreplicated(result, services[result.service])
		byCrash := c.explainedByCrash(result)
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
	c.checkServers(r.serverStats())
	inNetwork, count := r.env.fabric.Ledger().Violations()
	inNetwork, s.Limited = c.splitByLimit(inNetwork)
	s.Violations = append(c.violations, inNetwork...)
	s.ViolationCount = len(c.violations) + count - len(s.Limited)
	for _, v := range s.Violations {
		if c.withinCrashImpact(v.At) {
			s.AfterCrash++
		}
	}
}

// add counts one flow. byCrash is set if the crash may have broken it; killed is the
// time of the crash, zero without one.
func (f *FlowSummary) add(r flowResult, byCrash bool, killed time.Time) {
	f.Opened++
	switch r.Outcome {
	case caller.Completed:
		f.Completed++
	case caller.Refused:
		incrementReason(&f.Refused, r.Reason)
	default:
		incrementReason(&f.Broken, r.Reason)
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

func incrementReason(m *map[caller.Reason]int, reason caller.Reason) {
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

func (r *run) poolSummary(s Service) PoolSummary {
	p := PoolSummary{Pool: s.Name}
	for _, server := range s.Servers {
		from, to := r.statsBefore[s.Name][server.Name], r.statsAfter[s.Name][server.Name]
		summary := ServerSummary{
			Server: server.Name, Speed: server.Speed, Flows: to.Accepted,
			Drained: s.Name == r.changes.drainedPool && server.Name == r.changes.drainedServer,
		}
		if r.measuredTime > 0 {
			summary.Utilisation = float64(to.Busy-from.Busy) / float64(r.measuredTime) / backend.DefaultSlots
		}
		p.Servers = append(p.Servers, summary)
	}
	p.Imbalance = p.imbalance(r.statsBefore[s.Name], r.statsAfter[s.Name])
	p.setWindowP99(r.samples)
	return p
}

// balancerSummary summarises a balancer from its current status, or from its last
// one if it has ended. It adds its refusal counters to refusals.
func (r *run) balancerSummary(m *instance, refusals map[string]int64) BalancerSummary {
	status := m.lastStatus
	if m.state == running || m.state == joined || m.state == leaving {
		status = m.balancer.Status()
	}
	b := BalancerSummary{
		Name: m.vm.Name, Zone: m.vm.Zone, Capacity: m.vm.Capacity, State: string(m.state),
		Packets: r.env.fabric.BalancerCounts()[m.balancer.DataAddress()], Forwarded: counterValue(status, forwardedCounter),
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

// counterValue returns the value of a counter, 0 if the status does not have it.
func counterValue(s *peerapi.StatusResponse, name string) int64 {
	for _, c := range s.GetCounters() {
		if c.GetName() == name {
			return c.GetValue()
		}
	}
	return 0
}
