package main

import (
	"context"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/edit"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/peer"
	"knapweedshore.example/internal/store"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
)

// oneDaemon answers status calls and nothing else.
type oneDaemon struct{ self *peerapi.MemberRecord }

func (d oneDaemon) StoreExceptions(member.Name, *peerapi.ExceptionBatch) *peerapi.ExceptionAck {
	return &peerapi.ExceptionAck{}
}

func (d oneDaemon) Status() *peerapi.StatusResponse {
	return &peerapi.StatusResponse{Self: d.self, TablesVersion: 7, Standing: true, OpenFlows: 12,
		Servers: []*peerapi.ServerStatus{
			{Pool: "mapas", Server: "m1", Utilisation: 3, OpenFlows: 5},
			{Pool: "mapas", Server: "m2", Utilisation: 1, OpenFlows: 7}}}
}

func (d oneDaemon) Version() tables.Version                                   { return 7 }
func (d oneDaemon) Age() time.Duration                                        { return time.Second }
func (d oneDaemon) Offer(member.Name, tables.Version, []byte)                 {}
func (d oneDaemon) ObserveVersion(member.Name, tables.Version, time.Duration) {}
func (d oneDaemon) Fetch(tables.Version) *peerapi.FetchTablesResponse {
	return &peerapi.FetchTablesResponse{}
}

// startDaemon runs the peer server of one daemon and returns its address.
func startDaemon(t *testing.T, ca *peer.Authority) netip.AddrPort {
	t.Helper()
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().(*net.TCPAddr).AddrPort()
	self := member.Member{Name: "vm-1", Region: "cartago", Zone: "cartago-sur", Control: address,
		Data: netip.MustParseAddrPort("127.0.0.1:9"), Capacity: 1}
	credentials, err := ca.Issue(self.Name, self.Region)
	is.NoErr(err)
	m := metrics.NewRegistry()
	table, err := member.New(member.Config{Self: self, Events: events.Discard(), Metrics: m})
	is.NoErr(err)
	d := oneDaemon{self: table.View().Self.Record()}
	node, err := peer.New(peer.Config{Table: table, Tables: d, Handler: d, Credentials: credentials,
		Listener: listener, Events: events.Discard(), Metrics: m})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = node.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return address
}

// keyFiles writes an operator's credentials and returns the flags for them.
func keyFiles(t *testing.T, ca *peer.Authority) []string {
	t.Helper()
	is := is.New(t)
	cert, key, err := ca.IssuePEM("operator", "cartago")
	is.NoErr(err)
	var flags []string
	for name, data := range map[string][]byte{"ca": ca.CertificatePEM(), "cert": cert, "key": key} {
		file := filepath.Join(t.TempDir(), name)
		is.NoErr(os.WriteFile(file, data, 0o600))
		flags = append(flags, "--"+name, file)
	}
	return flags
}

// Guards against a status that hides a daemon which does not answer, or cannot
// authenticate to one that does.
func TestStatus(t *testing.T) {
	is := is.New(t)
	ca, err := peer.NewAuthority()
	is.NoErr(err)
	address := startDaemon(t, ca)
	args := append([]string{"status"}, keyFiles(t, ca)...)
	s := newSite(t)
	s.ctl(exitFailure, args...) // the list of VMs is empty
	s.platform.AddVM(store.VM{Name: "vm-1", Control: address})
	out, _ := s.ctl(exitOK, args...)
	rows := strings.Split(out, "\n")
	is.Equal(strings.Fields(rows[1]), []string{"vm-1", address.String(), "cartago-sur", "7", "0s", "ok", "12", "0", "0"})
	is.Equal(strings.Fields(rows[4]), []string{"mapas", "2", "0", "12", "1.50"})

	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closed.Close())
	args = append(args, "--daemon", address.String(), "--daemon", closed.Addr().String())
	out, errOut := s.ctl(exitFailure, args...)
	is.True(strings.Contains(out, "vm-1"))
	is.True(strings.Contains(out, "no answer: "))
	is.True(strings.Contains(errOut, "1 of 2 daemons did not answer"))
}

// Guards against a fault of a daemon that the status calls "ok".
func TestHealth(t *testing.T) {
	is := is.New(t)
	good := func() *peerapi.StatusResponse {
		return &peerapi.StatusResponse{Self: &peerapi.MemberRecord{}, Standing: true, TablesVersion: 7}
	}
	is.Equal(health(good(), 7), "ok")
	s := good()
	s.Self.State = peerapi.MemberState_MEMBER_STATE_LEAVING
	is.Equal(health(s, 7), "leaving")
	s = good()
	s.Standing, s.TablesAgeMs = false, 31_000
	is.Equal(health(s, 9), "no standing, 2 versions behind, tables not confirmed")
	s = good()
	s.TablesVersion = 0
	is.Equal(health(s, 0), "no tables")
}

// Guards against an imbalance that counts servers one by one for each daemon,
// or takes servers that nobody uses for idle ones.
func TestPoolImbalance(t *testing.T) {
	is := is.New(t)
	server := func(name string, utilisation float64, ejected bool) *peerapi.ServerStatus {
		return &peerapi.ServerStatus{Pool: "p", Server: name, Utilisation: utilisation, OpenFlows: 1, Ejected: ejected}
	}
	answers := []answer{
		{status: &peerapi.StatusResponse{Servers: []*peerapi.ServerStatus{server("a", 3, false), server("b", 1, true), server("c", 9, true)}}},
		{status: &peerapi.StatusResponse{Servers: []*peerapi.ServerStatus{server("a", 1, false), server("b", 3, false), server("c", 9, true)}}},
		{}, // no answer
	}
	is.Equal(poolReports(answers), []poolReport{{Name: "p", Servers: 3, Ejected: 1, Flows: 6, Imbalance: 1}})
}

// Guards against the exit codes that need two editors at the same moment.
func TestExitCodeOfConflicts(t *testing.T) {
	is := is.New(t)
	is.Equal(exitCode(&edit.ConflictError{}), exitConflict)
	is.Equal(exitCode(edit.ErrBusy), exitConflict)
	is.Equal(exitCode(&edit.OutcomeUnknownError{Cause: edit.ErrBusy}), exitOutcomeUnknown)
	is.Equal(exitCode(&edit.OutcomeUnknownError{Cause: store.ErrUnavailable}), exitOutcomeUnknown)
}
