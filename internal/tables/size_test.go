package tables

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

// largeTables returns tables with this number of routes and servers, and 8 servers
// in each pool.
func largeTables(routes, servers int) Desired {
	var d Desired
	for i := range servers / 8 {
		p := Pool{Name: fmt.Sprintf("service-%04d", i)}
		for j := range 8 {
			n := i*8 + j
			srv := server(fmt.Sprintf("service-%04d-s%d", i, j), fmt.Sprintf("10.%d.%d.%d:8080", n>>16, n>>8&255, n&255))
			srv.Zone = "tn-north-a"
			p.Servers = append(p.Servers, srv)
		}
		d.Pools = append(d.Pools, p)
	}
	for i := range routes {
		address := tcp(fmt.Sprintf("198.18.%d.%d:443", i>>8, i&255))
		d.Routes = append(d.Routes, Route{Name: fmt.Sprintf("service-%04d-r%d", i%len(d.Pools), i/len(d.Pools)),
			Address: address, Pool: d.Pools[i%len(d.Pools)].Name})
	}
	return d
}

// Guards against an encoding in which large tables, or the change that loads them
// for the first time, exceed the maximum size of a value in the store.
func TestLargeTablesFitTheStore(t *testing.T) {
	is := is.New(t)
	d := delta(Empty(), testTime, Diff(Empty(), largeTables(2700, 4800))...)
	s, err := Empty().Apply(d)
	is.NoErr(err)
	h, err := (&Head{}).Append(d)
	is.NoErr(err)
	t.Logf("snapshot %d bytes, first head %d bytes", len(s.Encode()), len(h.Encode()))
	is.True(len(s.Encode()) < MaxValueSize)
	is.True(len(h.Encode()) < MaxValueSize)
}

// Guards against tables that are accepted although they do not fit into the store.
func TestApplyRefusesTablesOverTheLimit(t *testing.T) {
	is := is.New(t)
	_, err := Empty().Apply(delta(Empty(), testTime, Diff(Empty(), largeTables(10, 20_000))...))
	problem, ok := errors.Into[*ValidationError](err)
	is.True(ok)
	is.Equal(problem.Rule, RuleLimit)
	is.Equal(problem.Entry.Kind, TablesEntry)
}

func BenchmarkApplyLargeTables(b *testing.B) {
	d := delta(Empty(), testTime, Diff(Empty(), largeTables(2700, 4800))...)
	s, err := Empty().Apply(d)
	if err != nil {
		b.Fatal(err)
	}
	srv := server("new", "10.200.0.1:80")
	change := delta(s, testTime, PutServer{Pool: "service-0001", Server: srv})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Apply(change); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkReplayLargeTables(b *testing.B) {
	base, err := Empty().Apply(delta(Empty(), testTime, Diff(Empty(), largeTables(2700, 4800))...))
	if err != nil {
		b.Fatal(err)
	}
	h := &Head{Version: 1, Base: 1}
	for i := range MaxHeadDeltas {
		d := delta(base, testTime, PutServer{Pool: fmt.Sprintf("service-%04d", i), Server: server("new", fmt.Sprintf("10.200.0.%d:80", i))})
		d.Version = Version(i + 2)
		if h, err = h.Append(d); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := h.Replay(base, h.Version); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeLargeTables(b *testing.B) {
	s, err := Empty().Apply(delta(Empty(), testTime, Diff(Empty(), largeTables(2700, 4800))...))
	if err != nil {
		b.Fatal(err)
	}
	data := s.Encode()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := DecodeSnapshot(data); err != nil {
			b.Fatal(err)
		}
	}
}

// Guards against a bound that is too low, which would let tables over the limit
// pass without being encoded. Each field has its longest form.
func TestSizeBoundIsAnUpperBound(t *testing.T) {
	is := is.New(t)
	const longest = "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:%x]:65535"
	s := &Snapshot{version: 1<<64 - 1, nextID: 1<<32 - 1}
	until := testTime.Add(time.Millisecond)
	for i := range 200 {
		route := netip.MustParseAddrPort(fmt.Sprintf(longest, 0xf000+i))
		endpoint := netip.MustParseAddrPort(fmt.Sprintf(longest, 0xe000+i))
		srv := Server{ID: ServerID(1<<32 - 2 - i), Name: "s", Endpoint: endpoint, Zone: "z",
			Weight: MaxWeight, Slots: MaxSlots, Connections: MaxConnections, State: Draining}
		name := fmt.Sprint("n", i)
		s.pools = append(s.pools, Pool{Name: name, Servers: []Server{srv}})
		s.routes = append(s.routes, Route{ID: RouteID(1<<32 - 2 - i), Name: name, Pool: name, Address: Address{route, TCP}})
		s.reservations = append(s.reservations, Reservation{Address: Address{route, UDP}, ID: 1<<32 - 1, Owner: name, Until: until})
	}
	is.True(s.maxEncodedBytes() >= len(s.Encode()))
	is.True(s.maxEncodedBytes() < 2*len(s.Encode()))
	plain, err := NewSnapshot(1, largeTables(200, 200).Routes, largeTables(200, 200).Pools)
	is.NoErr(err)
	is.True(plain.maxEncodedBytes() >= len(plain.Encode()))
	is.True(plain.maxEncodedBytes() < 2*len(plain.Encode()))
}
