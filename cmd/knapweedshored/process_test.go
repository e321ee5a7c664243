package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"knapweedshore.example/internal/carrier"
	"knapweedshore.example/internal/edit"
	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/peer"
	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
	"knapweedshore.example/standin/fabric/inet"
	"knapweedshore.example/standin/store"
)

// configEnv names an environment variable. If it is set, the test binary runs a
// daemon with this settings file instead of the tests.
const configEnv = "KNAPWEEDSHORED_TEST_CONFIG"

func TestMain(m *testing.M) {
	if config := os.Getenv(configEnv); config != "" {
		os.Exit(run(context.Background(), []string{"knapweedshored", "run", "--config", config}, os.Stdout, os.Stderr))
	}
	if config := os.Getenv(entryEnv); config != "" {
		os.Exit(serveDefectiveEntry(config, os.Getenv(defectEnv)))
	}
	os.Exit(m.Run())
}

// daemonProcess is a knapweedshored process.
type daemonProcess struct {
	data, control netip.AddrPort
	process       *exec.Cmd
}

// fleet is a group of daemon processes. The fabric and the store run in the test
// process.
type fleet struct {
	t         *testing.T
	authority *peer.Authority
	operator  *peer.Credentials
	fabric    carrier.Conn
	received  chan *inet.Packet
	daemons   []*daemonProcess
}

var processService = tables.Address{AddrPort: netip.MustParseAddrPort("203.0.113.1:443"), Protocol: tables.TCP}

func newFleet(t *testing.T, size int) *fleet {
	is := is.New(t)
	platform := store.New(store.Options{})
	server, err := platform.Listen("127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = server.Close() })
	_, err = edit.New(platform.Memory(), "ana", metrics.NewRegistry()).Write(t.Context(), addService)
	is.NoErr(err)
	conns, err := carrier.Listen(netip.MustParseAddrPort("127.0.0.1:0"), 1)
	is.NoErr(err)
	f := &fleet{t: t, fabric: conns[0], received: make(chan *inet.Packet, carrier.BatchSize)}
	f.authority, err = peer.NewAuthority()
	is.NoErr(err)
	f.operator, err = f.authority.Issue("operator", "cartago")
	is.NoErr(err)
	go f.receive()
	t.Cleanup(func() { _ = f.fabric.Close() })
	for i := range size {
		f.start(fmt.Sprint("entry-", i), fmt.Sprint("zone-", i%2), server.Addr().String())
	}
	return f
}

func addService(*tables.Snapshot) ([]tables.Operation, error) {
	var servers []tables.Server
	for i := range 4 {
		endpoint := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i + 1)}), 8443)
		servers = append(servers, tables.Server{Name: fmt.Sprint("d", i), Endpoint: endpoint, Zone: "zone-0"}.WithDefaults())
	}
	return []tables.Operation{
		tables.PutPool{Name: "despacho", Servers: servers},
		tables.PutRoute{Name: "despacho", Address: processService, Pool: "despacho"},
	}, nil
}

func (f *fleet) start(name, zone, platform string) {
	is := is.New(f.t)
	cert, key, err := f.authority.IssuePEM(member.Name(name), "cartago")
	is.NoErr(err)
	d := &daemonProcess{
		data:    netip.MustParseAddrPort(freeAddress(f.t, "udp")),
		control: netip.MustParseAddrPort(freeAddress(f.t, "tcp")),
	}
	dir, seeds := f.t.TempDir(), ""
	if len(f.daemons) > 0 {
		seeds = "seeds = " + f.daemons[0].control.String()
	}
	for file, content := range map[string]string{
		"ca.pem": string(f.authority.CertificatePEM()), "vm.pem": string(cert), "vm.key": string(key),
		"vm.ini": fmt.Sprintf(`[vm]
name = %s
region = cartago
zone = %s
[addresses]
data = %s
control = %s
metrics = %s
fabrics = %s
store = %s
%s
[tls]
ca = ca.pem
cert = vm.pem
key = vm.key
[limits]
workers = 2
`, name, zone, d.data, d.control, freeAddress(f.t, "tcp"), f.fabric.LocalAddr(), platform, seeds),
	} {
		is.NoErr(os.WriteFile(filepath.Join(dir, file), []byte(content), 0o600))
	}
	d.process = exec.Command(os.Args[0])
	d.process.Env = append(os.Environ(), configEnv+"="+filepath.Join(dir, "vm.ini"))
	is.NoErr(d.process.Start())
	f.t.Cleanup(d.kill)
	f.daemons = append(f.daemons, d)
}

// kill kills the process with SIGKILL.
func (d *daemonProcess) kill() {
	_ = d.process.Process.Kill() // it may have exited
	_ = d.process.Wait()
}

// receive reads the packets that reach the fabric, until its socket is closed.
func (f *fleet) receive() {
	in := make([]carrier.Incoming, carrier.BatchSize)
	for {
		n, err := f.fabric.ReadBatch(in)
		if err != nil {
			return
		}
		for i := range in[:n] {
			if p, err := inet.Parse(append([]byte(nil), in[i].Inner...)); err == nil {
				f.received <- p
			}
		}
	}
}

// awaitMembers waits until each of daemons sees count live members, is eligible and
// has the tables.
func (f *fleet) awaitMembers(daemons []*daemonProcess, count int) {
	for _, d := range daemons {
		eventually(f.t, fmt.Sprint(count, " live members"), func() bool {
			s, err := peer.FetchStatus(f.t.Context(), f.operator, d.control)
			return err == nil && s.GetStanding() && s.GetTablesVersion() == 1 && liveMembers(s) == count
		})
	}
}

// counterTotal sums a counter over all daemons.
func (f *fleet) counterTotal(name metrics.Reason) int64 {
	var sum int64
	for _, d := range f.daemons {
		s, err := peer.FetchStatus(f.t.Context(), f.operator, d.control)
		if err != nil {
			f.t.Fatal(err)
		}
		for _, c := range s.GetCounters() {
			if c.GetName() == "total."+string(name) {
				sum += c.GetValue()
			}
		}
	}
	return sum
}

func liveMembers(s *peerapi.StatusResponse) int {
	n := 0
	for _, m := range s.GetMembers() {
		if m.GetState() == member.Alive {
			n++
		}
	}
	return n
}

// send sends a packet to a daemon, with retransmissions, and returns the packet that
// reaches the fabric.
func (f *fleet) send(via *daemonProcess, p inet.Packet) *inet.Packet {
	f.t.Helper()
	b, err := inet.Build(&p)
	if err != nil {
		f.t.Fatal(err)
	}
	for range 30 {
		if _, err := f.fabric.WriteBatch([]carrier.Outgoing{{Inner: b, To: via.data}}); err != nil {
			f.t.Fatal(err)
		}
		select {
		case got := <-f.received:
			return got
		case <-time.After(500 * time.Millisecond):
		}
	}
	f.t.Fatalf("no packet arrived for %s > %s", p.Src, p.Dst)
	return nil
}

// request sends payload on an established flow through the daemon via and returns the
// server that receives it. If a segment without payload arrives first, it is a
// keepalive probe of the daemon; the server's acknowledgement goes through the daemon
// back.
func (f *fleet) request(via, back *daemonProcess, caller netip.AddrPort) netip.AddrPort {
	f.t.Helper()
	for range 3 {
		got := f.send(via, inet.Packet{Protocol: inet.TCP, Src: caller, Dst: processService.AddrPort, Seq: 2, Ack: 2, Flags: inet.ACK, Payload: []byte("confirm")})
		if len(got.Payload) > 0 {
			return got.Dst
		}
		f.send(back, inet.Packet{Protocol: inet.TCP, Src: got.Dst, Dst: caller, Seq: 2, Ack: 2, Flags: inet.ACK})
	}
	f.t.Fatalf("payload of %s reached no server", caller)
	return netip.AddrPort{}
}

// Guards against daemons that work within one process only, and against flows that
// break when a daemon is killed. The daemons are processes with settings files, keys
// and a store over HTTP.
func TestProcessesServeTogether(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 3)
	f.awaitMembers(f.daemons, 3)
	servers := make(map[netip.AddrPort]netip.AddrPort)
	for i := range 30 {
		caller := netip.AddrPortFrom(netip.MustParseAddr("198.51.100.1"), uint16(20000+i))
		opened := f.send(f.daemons[i%3], inet.Packet{Protocol: inet.TCP, Src: caller, Dst: processService.AddrPort, Seq: 1, Flags: inet.SYN})
		response := f.send(f.daemons[(i+1)%3], inet.Packet{Protocol: inet.TCP, Src: opened.Dst, Dst: caller, Seq: 1, Ack: 2, Flags: inet.SYN | inet.ACK})
		is.Equal(response.Src, processService.AddrPort)
		servers[caller] = opened.Dst
	}
	eventually(t, "backups know all exceptions", func() bool {
		return f.counterTotal(metrics.ExceptionsStored) >= f.counterTotal(metrics.FlowsDeviated)
	})

	f.daemons[0].kill()
	f.awaitMembers(f.daemons[1:], 2)
	for caller, server := range servers {
		is.Equal(f.request(f.daemons[1], f.daemons[2], caller), server)
		is.Equal(f.request(f.daemons[2], f.daemons[1], caller), server)
	}
}
