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

// Guards against a cut or a freeze that packets get around, and against one
// that also stops the balancers on the sender's side.
func TestCutAndFreeze(t *testing.T) {
	is := is.New(t)
	f := newFabric(t)
	f.Ledger().AddService(inet.UDP, maps.service, "maps")
	f.Ledger().AddServer(maps.servers[0], "maps")
	services := []fabrictest.Service{{Address: maps.service, Servers: maps.servers[:1]}}
	near, far := fabrictest.Start(t, f.Addr(), services, nil).Addr(), fabrictest.Start(t, f.Addr(), services, nil).Addr()
	f.AddBalancer(near, "a")
	f.AddBalancer(far, "b")
	server, err := host.New(f, maps.servers[0].Addr(), "a")
	is.NoErr(err)
	t.Cleanup(server.Close)
	startEcho(t, server, maps.servers[0].Port())
	caller, err := host.New(f, maps.caller, "a")
	is.NoErr(err)
	t.Cleanup(caller.Close)
	conn, err := caller.DialUDP()
	is.NoErr(err)
	ask := func() error {
		_, err := conn.WriteTo([]byte("request"), net.UDPAddrFromAddrPort(maps.service))
		is.NoErr(err)
		is.NoErr(conn.SetReadDeadline(time.Now().Add(violationWait)))
		_, _, err = conn.ReadFrom(make([]byte, host.MTU))
		return err
	}

	f.SetCut("a", "b", true)
	for range 20 {
		is.NoErr(ask())
	}
	is.Equal(f.BalancerCounts()[far].Sent, int64(0)) // cut off
	f.SetCut("a", "b", false)
	for range 20 {
		is.NoErr(ask())
	}
	is.True(f.BalancerCounts()[far].Sent > 0)

	f.SetFrozen(far, true)
	received := f.BalancerCounts()[far].Received
	for f.BalancerCounts()[far].LostFrozen == 0 {
		_, err := conn.WriteTo([]byte("request"), net.UDPAddrFromAddrPort(maps.service))
		is.NoErr(err)
	}
	is.Equal(f.BalancerCounts()[far].Received, received)
	f.RemoveBalancer(far)
	is.NoErr(ask())
	is.Equal(f.Counts().NoBalancer, int64(0))
}
