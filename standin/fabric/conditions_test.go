package fabric_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/standin/fabric/fabrictest"
	"knapweedshore.example/standin/fabric/host"
	"knapweedshore.example/standin/fabric/inet"
)

// Guards against packets that reach a balancer despite a cut or while it is
// frozen, and against a cut that also stops balancers in the sender's zone.
func TestCutAndFreeze(t *testing.T) {
	is := is.New(t)
	f := newFabric(t)
	f.Ledger().AddService(inet.UDP, ipv4.service, "maps")
	f.Ledger().AddServer(ipv4.servers[0], "maps")
	services := []fabrictest.Service{{Address: ipv4.service, Servers: ipv4.servers[:1]}}
	near, far := fabrictest.Start(t, f.Addr(), services, nil).Addr(), fabrictest.Start(t, f.Addr(), services, nil).Addr()
	f.AddBalancer(near, "a")
	f.AddBalancer(far, "b")
	server, err := host.New(f, ipv4.servers[0].Addr(), "a")
	is.NoErr(err)
	t.Cleanup(server.Close)
	startEcho(t, server, ipv4.servers[0].Port())
	caller, err := host.New(f, ipv4.caller, "a")
	is.NoErr(err)
	t.Cleanup(caller.Close)
	conn, err := caller.DialUDP()
	is.NoErr(err)
	roundTrip := func() error {
		_, err := conn.WriteTo([]byte("request"), net.UDPAddrFromAddrPort(ipv4.service))
		is.NoErr(err)
		is.NoErr(conn.SetReadDeadline(time.Now().Add(testTimeout)))
		_, _, err = conn.ReadFrom(make([]byte, host.MTU))
		return err
	}

	f.SetCut("a", "b", true)
	for range 20 {
		is.NoErr(roundTrip())
	}
	is.Equal(f.BalancerCounts()[far].Sent, int64(0)) // cut off
	f.SetCut("a", "b", false)
	for range 20 {
		is.NoErr(roundTrip())
	}
	is.True(f.BalancerCounts()[far].Sent > 0)

	f.SetFrozen(far, true)
	received := f.BalancerCounts()[far].Received
	for f.BalancerCounts()[far].LostFrozen == 0 {
		_, err := conn.WriteTo([]byte("request"), net.UDPAddrFromAddrPort(ipv4.service))
		is.NoErr(err)
	}
	is.Equal(f.BalancerCounts()[far].Received, received)
	f.RemoveBalancer(far)
	is.NoErr(roundTrip())
	is.Equal(f.Counts().NoBalancer, int64(0))
}
