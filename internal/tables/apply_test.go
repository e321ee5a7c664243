package tables

import (
	"net/netip"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"
)

var testTime = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

func tcp(ap string) Address { return Address{AddrPort: netip.MustParseAddrPort(ap), Protocol: TCP} }

func server(name, endpoint string) Server {
	return Server{Name: name, Endpoint: netip.MustParseAddrPort(endpoint), Zone: "cartago-norte"}.WithDefaults()
}

func delta(s *Snapshot, at time.Time, ops ...Operation) Delta {
	return Delta{Version: s.Version() + 1, WriteID: NewWriteID(), Author: "ana", Time: at, Operations: ops}
}

func mustApply(t *testing.T, s *Snapshot, at time.Time, ops ...Operation) *Snapshot {
	t.Helper()
	next, err := s.Apply(delta(s, at, ops...))
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// twoServices returns tables with the routes despacho and mapas, each with a pool
// of the same name.
func twoServices(t *testing.T) *Snapshot {
	t.Helper()
	return mustApply(t, Empty(), testTime,
		PutPool{Name: "despacho", Servers: []Server{server("d2", "10.1.0.2:80"), server("d1", "10.1.0.1:80")}},
		PutPool{Name: "mapas", Servers: []Server{server("m1", "10.2.0.1:80")}},
		PutRoute{Name: "despacho", Address: tcp("192.0.2.1:443"), Pool: "despacho"},
		PutRoute{Name: "mapas", Address: tcp("192.0.2.2:443"), Pool: "mapas"})
}

// Guards against a rule that is not enforced. A change that violates it must fail
// with an error that names the entry and the rule, and leave the tables unchanged.
func TestApplyRefuses(t *testing.T) {
	putServer := func(change func(*Server)) Operation {
		srv := server("d3", "10.1.0.3:80")
		change(&srv)
		return PutServer{Pool: "despacho", Server: srv}
	}
	putRoute := func(name, address, pool string) Operation {
		return PutRoute{Name: name, Address: tcp(address), Pool: pool}
	}
	for _, test := range []struct {
		name  string
		ops   []Operation
		entry string
		rule  Rule
	}{
		{"route without pool", []Operation{putRoute("r", "192.0.2.3:1", "none")}, `route "r"`, RulePoolMissing},
		{"pool in use", []Operation{DeletePool{"mapas"}}, `route "mapas"`, RulePoolMissing},
		{"server of no pool", []Operation{PutServer{"none", server("x", "10.3.0.1:1")}}, `server "x" of pool "none"`, RulePoolMissing},
		{"endpoint in two pools", []Operation{PutServer{"mapas", server("m2", "10.1.0.1:80")}}, `server "d1" of pool "despacho"`, RuleEndpointShared},
		{"endpoint twice in a pool", []Operation{PutServer{"mapas", server("m2", "10.2.0.1:80")}}, `server "m1" of pool "mapas"`, RuleEndpointShared},
		{"address in two routes", []Operation{putRoute("r", "192.0.2.1:443", "mapas")}, `route "despacho"`, RuleAddressShared},
		{"endpoint is a route", []Operation{PutServer{"mapas", server("m2", "192.0.2.1:443")}}, `server "m2" of pool "mapas"`, RuleEndpointIsRoute},
		{"route port 0", []Operation{putRoute("r", "192.0.2.3:0", "mapas")}, `route "r"`, RulePort},
		{"server port 0", []Operation{putServer(func(s *Server) { s.Endpoint = netip.MustParseAddrPort("10.1.0.3:0") })}, `server "d3" of pool "despacho"`, RulePort},
		{"no address", []Operation{PutRoute{Name: "r", Pool: "mapas"}}, `route "r"`, RuleAddress},
		{"multicast", []Operation{putRoute("r", "224.0.0.1:1", "mapas")}, `route "r"`, RuleAddress},
		{"unspecified", []Operation{putRoute("r", "0.0.0.0:1", "mapas")}, `route "r"`, RuleAddress},
		{"mapped IPv4", []Operation{putRoute("r", "[::ffff:10.0.0.1]:1", "mapas")}, `route "r"`, RuleAddress},
		{"protocol", []Operation{PutRoute{Name: "r", Address: Address{tcp("192.0.2.3:1").AddrPort, 1}, Pool: "mapas"}}, `route "r"`, RuleProtocol},
		{"IP version", []Operation{putRoute("r", "[2001:db8::1]:1", "mapas")}, `server "m1" of pool "mapas"`, RuleFamily},
		{"route name", []Operation{putRoute("a b", "192.0.2.3:1", "mapas")}, `route "a b"`, RuleName},
		{"pool name", []Operation{PutPool{Name: "a/b"}}, `pool "a/b"`, RuleName},
		{"server name", []Operation{putServer(func(s *Server) { s.Name = "" })}, `server "" of pool "despacho"`, RuleName},
		{"duplicate server", []Operation{PutPool{Name: "p", Servers: []Server{server("x", "10.3.0.1:1"), server("x", "10.3.0.2:1")}}}, `server "x" of pool "p"`, RuleDuplicateName},
		{"zone", []Operation{putServer(func(s *Server) { s.Zone = "" })}, `server "d3" of pool "despacho"`, RuleZone},
		{"state", []Operation{putServer(func(s *Server) { s.State = "down" })}, `server "d3" of pool "despacho"`, RuleState},
		{"weight", []Operation{putServer(func(s *Server) { s.Weight = MaxWeight + 1 })}, `server "d3" of pool "despacho"`, RuleLimit},
		{"slots", []Operation{putServer(func(s *Server) { s.Slots = MaxSlots + 1 })}, `server "d3" of pool "despacho"`, RuleLimit},
		{"connections", []Operation{putServer(func(s *Server) { s.Connections = MaxConnections + 1 })}, `server "d3" of pool "despacho"`, RuleLimit},
		{"missing route", []Operation{DeleteRoute{"r"}}, `route "r"`, RuleEntryMissing},
		{"missing pool", []Operation{DeletePool{"p"}}, `pool "p"`, RuleEntryMissing},
		{"missing server", []Operation{DeleteServer{"mapas", "x"}}, `server "x" of pool "mapas"`, RuleEntryMissing},
		{"fault before a change", []Operation{DeleteServer{"mapas", "x"}, PutServer{"mapas", server("m1", "10.2.0.9:80")}}, `server "x" of pool "mapas"`, RuleEntryMissing},
		{"entry twice", []Operation{DeleteRoute{"mapas"}, putRoute("mapas", "192.0.2.2:443", "mapas")}, `route "mapas"`, RuleEntryChangedTwice},
		{"no operations", nil, `delta "w"`, RuleDelta},
		{"taken address", []Operation{DeleteRoute{"despacho"}, putRoute("r", "192.0.2.1:443", "mapas")}, `route "r"`, RuleReservedAddress},
		{"taken endpoint", []Operation{DeleteServer{"despacho", "d1"}, PutServer{"mapas", server("m2", "10.1.0.1:80")}}, `server "m2" of pool "mapas"`, RuleReservedEndpoint},
		{"endpoint becomes route", []Operation{DeleteServer{"despacho", "d1"}, putRoute("r", "10.1.0.1:80", "mapas")}, `route "r"`, RuleReservedEndpoint},
		{"address becomes endpoint", []Operation{DeleteRoute{"despacho"}, PutServer{"mapas", server("m2", "192.0.2.1:443")}}, `server "m2" of pool "mapas"`, RuleReservedAddress},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := twoServices(t)
			before := string(s.Encode())
			d := delta(s, testTime, test.ops...)
			d.WriteID = "w"
			next, err := s.Apply(d)
			is.True(next == nil)
			problem, ok := errors.Into[*ValidationError](err)
			is.True(ok)
			is.Equal(problem.Entry.String(), test.entry)
			is.Equal(problem.Rule, test.rule)
			is.Equal(string(s.Encode()), before)
		})
	}
}

// Guards against an address that another service can use before its reservation
// expires or cannot use afterwards, and against an error that does not contain the
// remaining time.
func TestReservationEnds(t *testing.T) {
	is := is.New(t)
	s := mustApply(t, twoServices(t), testTime, DeleteRoute{"despacho"}, DeleteServer{"despacho", "d1"})
	is.Equal(len(s.Reservations()), 2)
	claims := []Operation{
		PutRoute{Name: "other", Address: tcp("192.0.2.1:443"), Pool: "mapas"},
		PutServer{Pool: "mapas", Server: server("m2", "10.1.0.1:80")},
	}
	_, err := s.Apply(delta(s, testTime.Add(ReservationPeriod-time.Minute), claims...))
	invalid, ok := errors.Into[*InvalidError](err)
	is.True(ok)
	is.Equal(len(invalid.Problems), 2)
	for _, p := range invalid.Problems {
		is.Equal(p.Remaining, time.Minute)
	}
	s = mustApply(t, s, testTime.Add(ReservationPeriod), claims...)
	is.Equal(len(s.Reservations()), 0)
}

// Guards against a reservation that prevents the previous owner of an address
// from using it again.
func TestReservationOwnerReturns(t *testing.T) {
	is := is.New(t)
	s := mustApply(t, twoServices(t), testTime, DeleteRoute{"despacho"}, DeleteServer{"despacho", "d1"})
	s = mustApply(t, s, testTime.Add(time.Second),
		PutRoute{Name: "despacho", Address: tcp("192.0.2.1:443"), Pool: "despacho"},
		PutServer{Pool: "despacho", Server: server("d9", "10.1.0.1:80")})
	is.Equal(len(s.Reservations()), 0)
}

// Guards against an id that is reused for another entry, and against a new id for
// an entry of which only the settings change.
func TestIDsAreNeverReused(t *testing.T) {
	is := is.New(t)
	s := twoServices(t)
	old, _ := s.ServerByEndpoint(netip.MustParseAddrPort("10.1.0.1:80"))
	route, _ := s.Route("mapas")
	drained := server("d1", "10.1.0.1:80")
	drained.State = Draining
	s2 := mustApply(t, s, testTime, PutServer{"despacho", drained}, PutRoute{"mapas", route.Address, "despacho"})
	updated, _ := s2.ServerByEndpoint(netip.MustParseAddrPort("10.1.0.1:80"))
	is.Equal(updated.Server.ID, old.Server.ID)
	is.Equal(old.Server.State, Active) // the old snapshot is unchanged
	route2, _ := s2.Route("mapas")
	is.Equal(route2.ID, route.ID)

	s3 := mustApply(t, s2, testTime, DeleteServer{"despacho", "d1"}, PutRoute{"mapas", tcp("192.0.2.9:443"), "despacho"})
	s4 := mustApply(t, s3, testTime, PutServer{"despacho", server("d1", "10.1.0.1:80")})
	recreated, _ := s4.ServerByEndpoint(netip.MustParseAddrPort("10.1.0.1:80"))
	_, used := s.ServerByID(recreated.Server.ID)
	is.True(!used)
	changed, _ := s4.Route("mapas")
	_, used = s.RouteByID(changed.ID)
	is.True(!used)
}

// Guards against accepting a delta or a head of a different history with the same
// version numbers, which exists after the store was restored from a backup.
func TestDeltaOfAnotherHistory(t *testing.T) {
	is := is.New(t)
	first, other := twoServices(t), twoServices(t) // both have version 1, with different write ids
	d := delta(other, testTime, DeleteRoute{"mapas"})
	d.Previous = other.WriteID()
	_, err := first.Apply(d)
	_, ok := errors.Into[*HistoryError](err)
	is.True(ok)
	decoded, err := DecodeSnapshot(other.Encode())
	is.NoErr(err)
	_, err = decoded.Apply(d)
	is.NoErr(err)
	h := &Head{Version: 1, WriteIDs: []WriteID{other.WriteID()}}
	is.True(h.SameHistory(other))
	is.True(!h.SameHistory(first))
}

// Guards against a delta that is applied twice or out of order. Versions must not
// go back or skip a number.
func TestApplyNeedsNextVersion(t *testing.T) {
	is := is.New(t)
	s := twoServices(t)
	for version, alreadyApplied := range map[Version]bool{0: true, 1: true, 3: false} {
		d := delta(s, testTime, DeleteRoute{"mapas"})
		d.Version = version
		_, err := s.Apply(d)
		versionErr, ok := errors.Into[*VersionError](err)
		is.True(ok)
		is.Equal(versionErr.AlreadyApplied(), alreadyApplied)
	}
}
