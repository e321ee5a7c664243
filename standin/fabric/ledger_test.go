package fabric_test

import (
	"bytes"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"knapweedshore.example/standin/fabric"
	"knapweedshore.example/standin/fabric/fabrictest"
	"knapweedshore.example/standin/fabric/host"
	"knapweedshore.example/standin/fabric/inet"
)

// violationWait is how long a test waits for a violation before it fails.
const violationWait = 10 * time.Second

var (
	maps   = versions["IPv4"]
	desk   = netip.MustParseAddrPort("10.9.0.2:443")
	deskAt = netip.MustParseAddrPort("10.2.0.9:8443")
)

func isRequest(p inet.Packet) bool { return p.Src.Addr() == maps.caller }

// misbehaviours are balancers that each break one promise.
var misbehaviours = map[fabric.ViolationKind]fabrictest.Misbehaviour{
	fabric.WrongService: func(before, after inet.Packet) [][]byte {
		if isRequest(before) {
			after.Dst = deskAt
		}
		return fabrictest.Build(after)
	},
	fabric.DuplicateRequest: func(before, after inet.Packet) [][]byte {
		if isRequest(before) {
			return fabrictest.Build(after, after)
		}
		return fabrictest.Build(after)
	},
	fabric.SecondServer: func(before, after inet.Packet) [][]byte {
		if isRequest(before) {
			after.Dst = maps.servers[before.ID%2]
		}
		return fabrictest.Build(after)
	},
	fabric.AlteredRequest: func(before, after inet.Packet) [][]byte {
		if isRequest(before) {
			after.Payload = bytes.ToUpper(after.Payload)
		}
		return fabrictest.Build(after)
	},
	fabric.WrongSource: func(before, after inet.Packet) [][]byte {
		if !isRequest(before) {
			after.Src = desk
		}
		return fabrictest.Build(after)
	},
	fabric.DuplicateResponse: func(before, after inet.Packet) [][]byte {
		if isRequest(before) {
			return fabrictest.Build(after)
		}
		return fabrictest.Build(after, after)
	},
	fabric.AlteredResponse: func(before, after inet.Packet) [][]byte {
		if !isRequest(before) {
			after.Payload = bytes.ToUpper(after.Payload)
		}
		return fabrictest.Build(after)
	},
	fabric.RefusedAfterDelivery: func(before, after inet.Packet) [][]byte {
		if !isRequest(before) {
			return nil
		}
		packets := fabrictest.Build(before, after)
		refusal, err := inet.BuildUnreachable(&before, packets[0])
		if err != nil {
			panic(err)
		}
		return [][]byte{packets[1], refusal}
	},
	// A server of another service answers under the address that the caller
	// used.
	fabric.WrongResponder: func(before, after inet.Packet) [][]byte {
		if isRequest(before) {
			after.Dst = deskAt
		} else {
			after.Src = maps.service
		}
		return fabrictest.Build(after)
	},
}

// Guards against a checker that overlooks a broken promise.
func TestLedgerDetectsEachMisbehaviour(t *testing.T) {
	for kind, misbehave := range misbehaviours {
		t.Run(string(kind), func(t *testing.T) {
			f := newFabric(t)
			services := []fabrictest.Service{
				{Address: maps.service, Servers: maps.servers[:]}, {Address: desk, Servers: []netip.AddrPort{deskAt}},
			}
			f.AddBalancer(fabrictest.Start(t, f.Addr(), services, misbehave).Addr(), "a")
			f.Ledger().AddService(inet.UDP, maps.service, "maps")
			f.Ledger().AddService(inet.UDP, desk, "desk")
			f.Ledger().AddServer(deskAt, "desk")
			for _, s := range maps.servers {
				f.Ledger().AddServer(s, "maps")
			}
			for _, s := range append(maps.servers[:], deskAt) {
				startEcho(t, newHost(t, f, s.Addr()), s.Port())
			}
			sendUntilViolation(t, f, newHost(t, f, maps.caller), kind)
		})
	}
}

func startEcho(t *testing.T, h *host.Host, port uint16) {
	t.Helper()
	conn, err := h.ListenUDP(port)
	if err != nil {
		t.Fatal(err)
	}
	var worker conc.WaitGroup
	worker.Go(func() {
		buf := make([]byte, host.MTU)
		for {
			n, from, err := conn.ReadFrom(buf)
			if err != nil {
				return
			}
			_, _ = conn.WriteTo(buf[:n], from)
		}
	})
	t.Cleanup(func() {
		_ = conn.Close()
		worker.Wait()
	})
}

func sendUntilViolation(t *testing.T, f *fabric.Fabric, caller *host.Host, kind fabric.ViolationKind) {
	t.Helper()
	is := is.New(t)
	conn, err := caller.DialUDP()
	is.NoErr(err)
	for end := time.Now().Add(violationWait); time.Now().Before(end); {
		_, err := conn.WriteTo([]byte("request"), net.UDPAddrFromAddrPort(maps.service))
		is.NoErr(err)
		is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond)))
		_, _, _ = conn.ReadFrom(make([]byte, host.MTU)) // some misbehaviours lose the response
		violations, _ := f.Ledger().Violations()
		for _, v := range violations {
			if v.Kind == kind {
				return
			}
		}
	}
	violations, _ := f.Ledger().Violations()
	t.Fatalf("no violation %q, but %v", kind, violations)
}
