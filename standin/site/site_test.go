package site

import (
	"bytes"
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
	"knapweedshore.example/standin/backend"
	"knapweedshore.example/standin/caller"
	"knapweedshore.example/standin/fabric"
	"knapweedshore.example/standin/fabric/fabrictest"
	"knapweedshore.example/standin/fabric/inet"
)

// fakePlatform runs stateless balancers, which ignore drains.
type fakePlatform struct {
	t        *testing.T
	services []fabrictest.Service

	mu      sync.Mutex
	members int
	drained string
}

type fakeBalancer struct {
	*fabrictest.Balancer
	platform *fakePlatform
}

func (p *fakePlatform) Install(_ context.Context, d tables.Desired) error {
	for _, r := range d.Routes {
		s := fabrictest.Service{Address: r.Address.AddrPort}
		for _, pool := range d.Pools {
			if pool.Name != r.Pool {
				continue
			}
			for _, server := range pool.Servers {
				s.Servers = append(s.Servers, server.Endpoint)
			}
		}
		p.services = append(p.services, s)
	}
	return nil
}

func (p *fakePlatform) Drain(_ context.Context, pool, server string) error {
	p.drained = pool + "/" + server
	return nil
}

func (p *fakePlatform) StartBalancer(_ context.Context, _ VM, fabric netip.AddrPort) (Balancer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members++
	return &fakeBalancer{fabrictest.Start(p.t, fabric, p.services, nil), p}, nil
}

func (p *fakePlatform) Close() {}

// Leave takes longer than the fabric still sends packets to the balancer.
func (b *fakeBalancer) Leave(ctx context.Context) error {
	sleepUntil(ctx, time.Now().Add(2*fabricUpdateDelay))
	b.Stop()
	return nil
}

func (b *fakeBalancer) Kill() { b.Stop() }

func (b *fakeBalancer) DataAddress() netip.AddrPort { return b.Addr() }

func (b *fakeBalancer) Status() *peerapi.StatusResponse {
	b.platform.mu.Lock()
	defer b.platform.mu.Unlock()
	s := &peerapi.StatusResponse{TablesVersion: 1, Standing: true, UptimeMs: 1000, ControlBytesSent: 500}
	for range b.platform.members {
		s.Members = append(s.Members, &peerapi.MemberRecord{})
	}
	return s
}

// lowLoadSite returns the dev site with a load low enough for a busy machine.
func lowLoadSite() Description {
	d := Dev()
	for i := range d.Services {
		d.Services[i].FlowsPerSecond /= 4
	}
	return d
}

// Guards against a drain that is not checked, and against faults of the simulation
// that are reported as violations. The balancers here ignore the drain and keep all
// other promises, because their choices never change.
func TestRunReportsExactlyTheIgnoredDrain(t *testing.T) {
	is := is.New(t)
	platform := &fakePlatform{t: t}
	s, err := Run(t.Context(), Config{Site: lowLoadSite(), Seed: 1, Duration: 7 * time.Second, Platform: platform}, func(line string) { t.Log(line) })
	is.NoErr(err)
	t.Log(s)
	is.True(s.Flows.Opened > 50)
	is.Equal(s.Flows.Completed, s.Flows.Opened)
	is.Equal(platform.drained, "desk/desk01")
	is.Equal(s.ViolationCount, 1)
	is.Equal(s.Violations[0].Kind, WorkAfterDrain)
	is.Equal(s.Packets.SecondHop, int64(0))
	is.Equal(s.Balancers[0].State, "left")
	is.Equal(s.Balancers[0].ControlBytesPerSec, 500.0)
	is.Equal(s.Balancers[1].State, "killed")
	for _, p := range s.Pools {
		is.True(p.Imbalance > 1)
	}

	var b bytes.Buffer
	is.NoErr(s.WriteJSON(&b))
	var decoded Summary
	is.NoErr(json.Unmarshal(b.Bytes(), &decoded))
	is.Equal(decoded.Flows.Opened, s.Flows.Opened)
	is.True(strings.Contains(s.String(), "work_after_drain"))
}

// Guards against daemons that are started with a wrong configuration. Without
// changes, no flow may break and no promise may be violated.
func TestDaemonsAtRest(t *testing.T) {
	is := is.New(t)
	s, err := Run(t.Context(), Config{Site: lowLoadSite(), Seed: 2, Duration: 3 * time.Second, NoChanges: true}, func(line string) { t.Log(line) })
	is.NoErr(err)
	t.Log(s)
	is.Equal(s.Flows.Completed, s.Flows.Opened)
	is.Equal(s.ViolationCount, 0)
	is.True(s.Packets.SecondHop > 0)
	for _, b := range s.Balancers {
		is.True(b.ControlBytesPerSec > 0)
	}
}

// Guards against broken flows that are attributed to the wrong change, and against
// violations that are not reported.
func TestCheckerFindsTheBrokenPromise(t *testing.T) {
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	changes := changeLog{leaveStarted: at(10), leaveEnded: at(20), killed: at(30)}
	confirm := []backend.Request{{Operation: backend.Confirm, ID: "c"}}
	answered := []time.Duration{time.Millisecond}
	for name, c := range map[string]struct {
		result     caller.Result
		executions int
		want       fabric.ViolationKind
	}{
		"completed":              {caller.Result{Outcome: caller.Completed, Requests: confirm, Latencies: answered}, 1, ""},
		"broken at rest":         {caller.Result{Outcome: caller.Broken, Opened: at(1), Ended: at(2)}, 0, BrokenFlow},
		"broken during leave":    {caller.Result{Outcome: caller.Broken, Opened: at(9), Ended: at(12)}, 0, BrokenByLeave},
		"broken by crash":        {caller.Result{Outcome: caller.Broken, Opened: at(25), Ended: at(31)}, 0, ""},
		"broken long after":      {caller.Result{Outcome: caller.Broken, Opened: at(36), Ended: at(40)}, 0, BrokenFlow},
		"wrong despite crash":    {caller.Result{Outcome: caller.Broken, Reason: caller.WrongHash, Opened: at(25), Ended: at(31)}, 0, WrongResponse},
		"refused":                {caller.Result{Outcome: caller.Refused, Requests: confirm}, 0, ""},
		"refused and executed":   {caller.Result{Outcome: caller.Refused, Requests: confirm}, 1, RefusedButExecuted},
		"confirmed not executed": {caller.Result{Outcome: caller.Completed, Requests: confirm, Latencies: answered}, 0, ConfirmedWithoutExecution},
		"executed twice":         {caller.Result{Outcome: caller.Completed, Requests: confirm, Latencies: answered}, 2, RepeatedExecution},
	} {
		t.Run(name, func(t *testing.T) {
			k := newChecker(changes, backend.NewExecutions())
			for range c.executions {
				k.executions.Add("c")
			}
			k.checkFlow(flowResult{service: "desk", Result: c.result})
			k.checkServers(nil)
			var got fabric.ViolationKind
			for _, v := range k.violations {
				got += v.Kind
			}
			is.New(t).Equal(got, c.want)
		})
	}
}

// Guards against a second server that is excused although the owner's backup had to
// know the flow's server, or although the flow can be probed.
func TestCheckerExcusesYoungUDPFlowsAtTheCrash(t *testing.T) {
	killed := time.Now()
	at := func(d time.Duration) time.Time { return killed.Add(d) }
	flow := func(opened, ended time.Duration) caller.Result {
		return caller.Result{Outcome: caller.Completed, Opened: at(opened), Ended: at(ended), Caller: netip.MustParseAddrPort("198.51.100.9:10066")}
	}
	const ms = time.Millisecond
	for name, c := range map[string]struct {
		protocol tables.Protocol
		flow     caller.Result
		kind     fabric.ViolationKind
		seen     time.Duration
		limited  bool
	}{
		"young UDP flow":         {tables.UDP, flow(-266*ms, 3*time.Second), fabric.SecondServer, 2 * time.Second, true},
		"TCP flow":               {tables.TCP, flow(-266*ms, 3*time.Second), fabric.SecondServer, 2 * time.Second, false},
		"older UDP flow":         {tables.UDP, flow(-501*ms, 3*time.Second), fabric.SecondServer, 2 * time.Second, false},
		"opened after the crash": {tables.UDP, flow(ms, 3*time.Second), fabric.SecondServer, 2 * time.Second, false},
		"ended before the crash": {tables.UDP, flow(-266*ms, -ms), fabric.SecondServer, 2 * time.Second, false},
		"moved before the crash": {tables.UDP, flow(-266*ms, 3*time.Second), fabric.SecondServer, -ms, false},
		"duplicated packet":      {tables.UDP, flow(-266*ms, 3*time.Second), fabric.DuplicateRequest, 2 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			service := Service{Name: "maps", Protocol: c.protocol, Address: netip.MustParseAddrPort("203.0.113.1:443")}
			k := newChecker(changeLog{killed: killed}, backend.NewExecutions())
			k.recordIfUnreplicated(flowResult{service: service.Name, Result: c.flow}, service)
			protocol := inet.TCP
			if c.protocol == tables.UDP {
				protocol = inet.UDP
			}
			key := fabric.FlowKey{Protocol: protocol, Caller: c.flow.Caller, Service: service.Address}
			broken, limited := k.splitByLimit([]fabric.Violation{{Kind: c.kind, Key: key, At: at(c.seen)}})
			is.Equal(len(limited) == 1, c.limited)
			is.Equal(len(broken) == 1, !c.limited)
		})
	}
}
