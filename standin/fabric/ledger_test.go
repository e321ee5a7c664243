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

// testTimeout limits the wait for a response or a violation.
const testTimeout = 10 * time.Second

var (
	ipv4        = ipVersions["IPv4"]
	deskService = netip.MustParseAddrPort("10.9.0.2:443")
	deskServer  = netip.MustParseAddrPort("10.2.0.9:8443")
)

func fromCaller(p inet.Packet) bool { return p.Src.Addr() == ipv4.caller }

// misbehaviours has, for each kind of violation, a balancer that causes it.
var misbehaviours = map[fabric.ViolationKind]fabrictest.Misbehaviour{
	fabric.WrongService: func(before, after inet.Packet) [][]byte {
		if fromCaller(before) {
			after.Dst = deskServer
		}
		return fabrictest.Build(after)
	},
	fabric.DuplicateRequest: func(before, after inet.Packet) [][]byte {
		if fromCaller(before) {
			return fabrictest.Build(after, after)
		}
		return fabrictest.Build(after)
	},
	fabric.SecondServer: func(before, after inet.Packet) [][]byte {
		if fromCaller(before) {
			after.Dst = ipv4.servers[before.ID%2]
		}
		return fabrictest.Build(after)
	},
	fabric.AlteredRequest: func(before, after inet.Packet) [][]byte {
		if fromCaller(before) {
			after.Payload = bytes.ToUpper(after.Payload)
		}
		return fabrictest.Build(after)
	},
	fabric.WrongSource: func(before, after inet.Packet) [][]byte {
		if !fromCaller(before) {
			after.Src = deskService
		}
		return fabrictest.Build(after)
	},
	fabric.DuplicateResponse: func(before, after inet.Packet) [][]byte {
		if fromCaller(before) {
			return fabrictest.Build(after)
		}
		return fabrictest.Build(after, after)
	},
	fabric.AlteredResponse: func(before, after inet.Packet) [][]byte {
		if !fromCaller(before) {
			after.Payload = bytes.ToUpper(after.Payload)
		}
		return fabrictest.Build(after)
	},
	fabric.RefusedAfterDelivery: func(before, after inet.Packet) [][]byte {
		if !fromCaller(before) {
			return nil
		}
		packets := fabrictest.Build(before, after)
		refusal, err := inet.BuildUnreachable(&before, packets[0])
		if err != nil {
			panic(err)
		}
		return [][]byte{packets[1], refusal}
	},
	// A server of another service responds from the address that the caller
	// used.
	fabric.WrongResponder: func(before, after inet.Packet) [][]byte {
		if fromCaller(before) {
			after.Dst = deskServer
		} else {
			after.Src = ipv4.service
		}
		return fabrictest.Build(after)
	},
}

// Guards against a Ledger that does not detect one of its kinds of violations.
func TestLedgerDetectsEachMisbehaviour(t *testing.T) {
	for kind, misbehave := range misbehaviours {
		t.Run(string(kind), func(t *testing.T) {
			f := newFabric(t)
			services := []fabrictest.Service{
				{Address: ipv4.service, Servers: ipv4.servers[:]}, {Address: deskService, Servers: []netip.AddrPort{deskServer}},
			}
			f.AddBalancer(fabrictest.Start(t, f.Addr(), services, misbehave).Addr(), "a")
			f.Ledger().AddService(inet.UDP, ipv4.service, "maps")
			f.Ledger().AddService(inet.UDP, deskService, "desk")
			f.Ledger().AddServer(deskServer, "desk")
			for _, s := range ipv4.servers {
				f.Ledger().AddServer(s, "maps")
			}
			for _, s := range append(ipv4.servers[:], deskServer) {
				startEcho(t, newHost(t, f, s.Addr()), s.Port())
			}
			sendUntilViolation(t, f, newHost(t, f, ipv4.caller), kind)
		})
	}
}

// startEcho runs a UDP server that returns every datagram.
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

// sendUntilViolation sends requests until the Ledger lists a violation of the
// kind, and fails the test if it does not within testTimeout.
func sendUntilViolation(t *testing.T, f *fabric.Fabric, caller *host.Host, kind fabric.ViolationKind) {
	t.Helper()
	is := is.New(t)
	conn, err := caller.DialUDP()
	is.NoErr(err)
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		_, err := conn.WriteTo([]byte("request"), net.UDPAddrFromAddrPort(ipv4.service))
		is.NoErr(err)
		is.NoErr(conn.SetReadDeadline(time.Now().Add(20 * time.Millisecond)))
		_, _, _ = conn.ReadFrom(make([]byte, host.MTU)) // some misbehaviours drop the response
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
