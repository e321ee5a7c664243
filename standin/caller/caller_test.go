package caller_test

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/standin/backend"
	"knapweedshore.example/standin/caller"
	"knapweedshore.example/standin/fabric"
	"knapweedshore.example/standin/fabric/fabrictest"
	"knapweedshore.example/standin/fabric/host"
	"knapweedshore.example/standin/fabric/inet"
)

var (
	callerAddr  = netip.MustParseAddr("10.1.0.1")
	service     = netip.MustParseAddrPort("10.9.0.1:443")
	serverAddrs = []netip.AddrPort{netip.MustParseAddrPort("10.2.0.1:8443"), netip.MustParseAddrPort("10.2.0.2:8443")}
)

// fixture is a service with two servers behind two balancers.
type fixture struct {
	fabric     *fabric.Fabric
	host       *host.Host
	servers    []*backend.Server
	executions *backend.Executions
	identity   *backend.Identity
}

func newFixture(t *testing.T, o backend.Options, misbehave fabrictest.Misbehaviour) *fixture {
	t.Helper()
	is := is.New(t)
	f, err := fabric.New(fabric.Options{Seed: 2})
	is.NoErr(err)
	t.Cleanup(func() { _ = f.Close() })
	fx := &fixture{fabric: f, executions: backend.NewExecutions()}
	fx.identity, err = backend.NewIdentity()
	is.NoErr(err)
	protocol := inet.TCP
	if o.HTTP3 {
		protocol = inet.UDP
	}
	f.Ledger().AddService(protocol, service, "desk")
	for i, addr := range serverAddrs {
		o.Name, o.Endpoint, o.Identity, o.Executions = fmt.Sprintf("s%d", i), addr, fx.identity, fx.executions
		server, err := backend.Start(f, o)
		is.NoErr(err)
		t.Cleanup(server.Close)
		fx.servers = append(fx.servers, server)
		f.Ledger().AddServer(addr, "desk")
	}
	for range 2 {
		b := fabrictest.Start(t, f.Addr(), []fabrictest.Service{{Address: service, Servers: serverAddrs}}, misbehave)
		f.AddBalancer(b.Addr(), "a")
	}
	fx.host, err = host.New(f, callerAddr, fabric.Outside)
	is.NoErr(err)
	t.Cleanup(fx.host.Close)
	return fx
}

func (fx *fixture) http() *caller.HTTP {
	return &caller.HTTP{Host: fx.host, Service: service, TLS: fx.identity.Client}
}

func (fx *fixture) tcp() *caller.TCP { return &caller.TCP{Host: fx.host, Service: service} }

func check(id string) backend.Request {
	return backend.Request{Operation: backend.Check, ID: id}
}

func confirm(id string) backend.Request {
	return backend.Request{Operation: backend.Confirm, ID: id}
}

func file(id string, size int64) backend.Request {
	return backend.Request{Operation: backend.File, ID: id, Size: size}
}

// Guards against flows that do not complete when packets are lost or reordered,
// and against confirmations that are executed twice because a caller
// retransmits.
func TestTCPScriptsSurviveLossAndReordering(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, backend.Options{}, nil)
	fx.fabric.SetLoss(0.03)
	fx.fabric.SetReorder(0.1)
	const minRounds, maxRounds = 4, 40
	retransmits := 0
	// The loss may spare all packets of the callers in a few rounds.
	for i := 0; i < minRounds || retransmits == 0 && i < maxRounds; i++ {
		id := fmt.Sprint(i)
		for _, script := range []caller.Script{
			caller.Exchange(check("a"+id), confirm("b"+id), file("c"+id, 50_000)),
			caller.SendAndHalfClose(confirm("d" + id)),
			caller.ExchangeAndReset(confirm("e" + id)),
		} {
			r := fx.tcp().Run(t.Context(), script)
			is.NoErr(r.Err)
			is.Equal(r.Outcome, caller.Completed)
			retransmits += r.Retransmits
		}
		for _, prefix := range []string{"b", "d", "e"} {
			is.Equal(fx.executions.Count(prefix+id), 1)
		}
	}
	is.True(retransmits > 0)
	violations, _ := fx.fabric.Ledger().Violations()
	is.Equal(len(violations), 0)
}

// Guards against a host that sends no reset for a closed port or an unknown
// connection, and against a caller that reports one as the other.
func TestTCPResetsOfACrashedServer(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, backend.Options{Costs: backend.Costs{Check: 1, Confirm: 1, Chunk: 50 * time.Millisecond}}, nil)
	done := make(chan caller.Result)
	go func() { done <- fx.tcp().Run(t.Context(), caller.Exchange(file("long", 10<<20))) }()
	for fx.servers[0].Stats().Busy+fx.servers[1].Stats().Busy == 0 {
		time.Sleep(time.Millisecond)
	}
	for _, server := range fx.servers {
		server.Crash()
	}
	r := <-done
	is.Equal(r.Outcome, caller.Broken)
	is.Equal(r.Reason, caller.ResetByPeer)

	r = fx.tcp().Run(t.Context(), caller.Exchange(check("after")))
	is.Equal(r.Outcome, caller.Refused)
	is.Equal(r.Reason, caller.ResetOnSYN)

	for _, server := range fx.servers {
		is.NoErr(server.Restart())
	}
	r = fx.tcp().Run(t.Context(), caller.Exchange(check("again")))
	is.NoErr(r.Err)
}

// Guards against a caller that accepts a wrong answer or an error status.
func TestTCPCallerReportsWrongResponses(t *testing.T) {
	for want, change := range map[caller.Reason][2]string{
		caller.WrongAnswer: {"check mine", "check hers"},
		caller.LoadShed:    {"200 ", "503 "},
	} {
		t.Run(string(want), func(t *testing.T) {
			fx := newFixture(t, backend.Options{}, func(_, after inet.Packet) [][]byte {
				after.Payload = bytes.ReplaceAll(after.Payload, []byte(change[0]), []byte(change[1]))
				return fabrictest.Build(after)
			})
			r := fx.tcp().Run(t.Context(), caller.Exchange(check("mine")))
			is.New(t).Equal(r.Reason, want)
		})
	}
}

// Guards against a wrong outcome of HTTP/3 flows, and against confirmations that
// are executed twice.
func TestHTTPFlows(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, backend.Options{HTTP3: true, Speed: 4}, nil)
	r := fx.http().Run(t.Context(), check("a"), confirm("b"), file("c", 300_000))
	is.NoErr(r.Err)
	is.Equal(r.Outcome, caller.Completed)
	is.Equal(len(r.Latencies), 3)
	is.Equal(fx.executions.Count("b"), 1)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	r = fx.http().Run(ctx, check("d"))
	is.Equal(r.Reason, caller.Stopped)
}

// Guards against a caller over UDP that ignores port-unreachable messages.
func TestHTTPFlowRefusedByABalancer(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, backend.Options{HTTP3: true}, func(before, _ inet.Packet) [][]byte {
		original := fabrictest.Build(before)[0]
		refusal, err := inet.BuildUnreachable(&before, original)
		if err != nil {
			panic(err)
		}
		return [][]byte{refusal}
	})
	r := fx.http().Run(t.Context(), confirm("a"))
	is.Equal(r.Outcome, caller.Refused)
	is.Equal(r.Reason, caller.PortUnreachable)
	is.Equal(fx.executions.Count("a"), 0)
	violations, _ := fx.fabric.Ledger().Violations()
	is.Equal(len(violations), 0)
}

// Guards against a server that processes more requests at once than it has slots,
// or queues them without limit.
func TestServerShedsLoad(t *testing.T) {
	is := is.New(t)
	fx := newFixture(t, backend.Options{Slots: 1, Costs: backend.Costs{Check: 50 * time.Millisecond}}, nil)
	const flows = 120
	results := make(chan caller.Result)
	started := time.Now()
	for i := range flows {
		go func() { results <- fx.tcp().Run(t.Context(), caller.Exchange(check(fmt.Sprint(i)))) }()
	}
	completed, shed := 0, 0
	for range flows {
		switch r := <-results; {
		case r.Outcome == caller.Completed:
			completed++
		case r.Reason == caller.LoadShed:
			shed++
		}
	}
	is.Equal(completed+shed, flows)
	is.True(shed > 0)
	minTime := time.Duration(completed) * 50 * time.Millisecond / 2
	is.True(time.Since(started) >= minTime) // two servers with one slot each
}
