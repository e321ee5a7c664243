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

// fakeDaemon answers status calls and nothing else.
type fakeDaemon struct{ self *peerapi.MemberRecord }

func (d fakeDaemon) StoreExceptions(member.Name, *peerapi.ExceptionBatch) *peerapi.ExceptionAck {
	return &peerapi.ExceptionAck{}
}

func (d fakeDaemon) Status() *peerapi.StatusResponse {
	return &peerapi.StatusResponse{Self: d.self, TablesVersion: 7, Standing: true, OpenFlows: 12,
		Servers: []*peerapi.ServerStatus{
			{Pool: "mapas", Server: "m1", Utilisation: 3, OpenFlows: 5},
			{Pool: "mapas", Server: "m2", Utilisation: 1, OpenFlows: 7}}}
}

func (d fakeDaemon) Version() tables.Version                                   { return 7 }
func (d fakeDaemon) Age() time.Duration                                        { return time.Second }
func (d fakeDaemon) Offer(member.Name, tables.Version, []byte)                 {}
func (d fakeDaemon) ObserveVersion(member.Name, tables.Version, time.Duration) {}
func (d fakeDaemon) Fetch(tables.Version) *peerapi.FetchTablesResponse {
	return &peerapi.FetchTablesResponse{}
}

// startDaemon runs the peer server of a fake daemon and returns its address.
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
	d := fakeDaemon{self: table.View().Self.Record()}
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

// writeKeyFiles writes the credentials of an operator to files and returns the flags
// that name them.
func writeKeyFiles(t *testing.T, ca *peer.Authority) []string {
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

// Guards against a status command that hides a daemon which does not answer, and
// against one that fails to authenticate to a daemon.
func TestStatus(t *testing.T) {
	is := is.New(t)
	ca, err := peer.NewAuthority()
	is.NoErr(err)
	address := startDaemon(t, ca)
	args := append([]string{"status"}, writeKeyFiles(t, ca)...)
	env := newTestEnv(t)
	env.ctl(exitFailure, args...) // the list of VMs is empty
	env.platform.AddVM(store.VM{Name: "vm-1", Control: address})
	out, _ := env.ctl(exitOK, args...)
	rows := strings.Split(out, "\n")
	is.Equal(strings.Fields(rows[1]), []string{"vm-1", address.String(), "cartago-sur", "7", "0s", "ok", "12", "0", "0"})
	is.Equal(strings.Fields(rows[4]), []string{"mapas", "2", "0", "12", "1.50"})

	closed, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(closed.Close())
	args = append(args, "--daemon", address.String(), "--daemon", closed.Addr().String())
	out, errOut := env.ctl(exitFailure, args...)
	is.True(strings.Contains(out, "vm-1"))
	is.True(strings.Contains(out, "no answer: "))
	is.True(strings.Contains(errOut, "1 of 2 daemons did not answer"))
}

// Guards against a faulty daemon that is reported as "ok".
func TestHealth(t *testing.T) {
	is := is.New(t)
	healthy := func() *peerapi.StatusResponse {
		return &peerapi.StatusResponse{Self: &peerapi.MemberRecord{}, Standing: true, TablesVersion: 7}
	}
	is.Equal(health(healthy(), 7), "ok")
	s := healthy()
	s.Self.State = peerapi.MemberState_MEMBER_STATE_LEAVING
	is.Equal(health(s, 7), "leaving")
	s = healthy()
	s.Standing, s.TablesAgeMs = false, 31_000
	is.Equal(health(s, 9), "no standing, 2 versions behind, tables not confirmed")
	s = healthy()
	s.TablesVersion = 0
	is.Equal(health(s, 0), "no tables")
}

// Guards against an imbalance that is not summed over the daemons, or that counts
// servers ejected by every daemon as idle.
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

// Guards against wrong exit codes for errors that need two concurrent editors.
func TestExitCodeOfConflicts(t *testing.T) {
	is := is.New(t)
	is.Equal(exitCode(&edit.ConflictError{}), exitConflict)
	is.Equal(exitCode(edit.ErrBusy), exitConflict)
	is.Equal(exitCode(&edit.OutcomeUnknownError{Cause: edit.ErrBusy}), exitOutcomeUnknown)
	is.Equal(exitCode(&edit.OutcomeUnknownError{Cause: store.ErrUnavailable}), exitOutcomeUnknown)
}
