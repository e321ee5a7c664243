package tablesync

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/peer"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
)

// noCalls is a peer.Handler that stores no exceptions and has no status.
type noCalls struct{}

func (noCalls) StoreExceptions(member.Name, *peerapi.ExceptionBatch) *peerapi.ExceptionAck {
	return nil
}
func (noCalls) Status() *peerapi.StatusResponse { return nil }

// Guards against tables that do not reach all daemons over real TCP links: the first
// version, a later change, or the snapshot for a daemon that joins while the store is
// down.
func TestTablesCrossLinks(t *testing.T) {
	is := is.New(t)
	authority, err := peer.NewAuthority()
	is.NoErr(err)
	source := newFakeStore()
	var group conc.WaitGroup
	var contacts []netip.AddrPort
	var syncers []*Syncer
	start := func(name member.Name, zone string) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		address := listener.Addr().(*net.TCPAddr).AddrPort()
		registry := metrics.NewRegistry()
		table, err := member.New(member.Config{
			Self:        member.Member{Name: name, Region: "cartago", Zone: zone, Capacity: 1, Control: address, Data: address},
			ExpectPeers: len(contacts) > 0, Events: events.Discard(), Metrics: registry,
		})
		is.NoErr(err)
		s, err := New(Config{Members: table, Store: source, Events: events.Discard(), Metrics: registry})
		is.NoErr(err)
		id, err := authority.Issue(name, "cartago")
		is.NoErr(err)
		node, err := peer.New(peer.Config{
			Table: table, Tables: s, Handler: noCalls{}, Credentials: id, Listener: listener,
			Seeds: contacts, Events: events.Discard(), Metrics: registry,
		})
		is.NoErr(err)
		group.Go(func() { _ = table.Run(t.Context()) })
		group.Go(func() { _ = node.Run(t.Context()) })
		group.Go(func() { _ = s.Run(t.Context(), node) })
		contacts = []netip.AddrPort{address}
		syncers = append(syncers, s)
	}
	t.Cleanup(group.Wait)
	waitInForce := func(v tables.Version) {
		t.Helper()
		for started := time.Now(); ; time.Sleep(10 * time.Millisecond) {
			done := true
			for _, s := range syncers {
				done = done && s.Version() == v
			}
			if done {
				return
			}
			if time.Since(started) > maxApplyTime {
				t.Fatalf("version %d is not in force within %v", v, maxApplyTime)
			}
		}
	}
	for _, name := range []member.Name{"a", "b", "c", "d"} {
		start(name, "z1")
	}
	waitInForce(source.commit(t))
	waitInForce(source.commit(t))
	source.update(func() { source.down = true })
	start("e", "z2")
	waitInForce(2)
}
