package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/peer"
	"knapweedshore.example/standin/store"
)

// fakeDaemon runs until its context ends, it has left, or it is killed or made to
// fail.
type fakeDaemon struct {
	leaveDuration time.Duration
	fail          chan error
	stop          chan struct{}
	once          sync.Once
	killed        bool
}

func newFakeDaemon() *fakeDaemon {
	return &fakeDaemon{leaveDuration: 30 * time.Second, fail: make(chan error), stop: make(chan struct{})}
}

func (d *fakeDaemon) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-d.stop:
		return nil
	case err := <-d.fail:
		return err
	}
}

func (d *fakeDaemon) Leave(ctx context.Context) error {
	select {
	case <-time.After(d.leaveDuration):
	case <-ctx.Done():
		return ctx.Err()
	}
	d.once.Do(func() { close(d.stop) })
	return nil
}

func (d *fakeDaemon) Kill() {
	d.killed = true
	d.once.Do(func() { close(d.stop) })
}

// Guards against a first signal that breaks flows, a second signal that is ignored,
// and a failed part whose error is not returned.
func TestServeEnds(t *testing.T) {
	errFailedPart := errors.New("socket closed")
	for _, c := range []struct {
		name   string
		act    func(d *fakeDaemon, signals chan os.Signal)
		want   error
		after  time.Duration
		killed bool
	}{
		{"first signal leaves", func(_ *fakeDaemon, s chan os.Signal) { s <- syscall.SIGTERM }, nil, 30 * time.Second, false},
		{"second signal ends at once", func(_ *fakeDaemon, s chan os.Signal) {
			s <- syscall.SIGTERM
			time.Sleep(time.Second)
			s <- os.Interrupt
		}, errKilled, time.Second, true},
		{"part fails", func(d *fakeDaemon, _ chan os.Signal) { d.fail <- errFailedPart }, errFailedPart, 0, false},
		{"part fails while leaving", func(d *fakeDaemon, s chan os.Signal) {
			s <- syscall.SIGTERM
			time.Sleep(time.Second)
			d.fail <- errFailedPart
		}, errFailedPart, time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				d, signals, start := newFakeDaemon(), make(chan os.Signal), time.Now()
				go c.act(d, signals)
				is.Equal(serve(t.Context(), d, signals, events.Discard()), c.want)
				is.Equal(time.Since(start), c.after)
				is.Equal(d.killed, c.killed)
			})
		})
	}
}

// testVM holds the path of a VM's settings file and the VM's metrics address.
type testVM struct {
	config  string
	metrics string
}

// newTestVM starts a platform store and writes the settings and the keys of a VM in
// region cartago. The certificate is for the VM in certificateRegion.
func newTestVM(t *testing.T, certificateRegion string) testVM {
	is := is.New(t)
	platform, err := store.New(store.Options{}).Listen("127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = platform.Close() })
	authority, err := peer.NewAuthority()
	is.NoErr(err)
	cert, key, err := authority.IssuePEM("entry-1", certificateRegion)
	is.NoErr(err)
	dir := t.TempDir()
	metrics := freeAddress(t, "tcp")
	for name, content := range map[string][]byte{
		"ca.pem": authority.CertificatePEM(), "vm.pem": cert, "vm.key": key,
		"vm.ini": []byte(fmt.Sprintf(`[vm]
name = entry-1
region = cartago
zone = cartago-norte
[addresses]
data = %s
control = %s
metrics = %s
fabrics = 127.0.0.1:6081
store = %s
[tls]
ca = ca.pem
cert = vm.pem
key = vm.key
`, freeAddress(t, "udp"), freeAddress(t, "tcp"), metrics, platform.Addr())),
	} {
		is.NoErr(os.WriteFile(filepath.Join(dir, name), content, 0o600))
	}
	return testVM{config: filepath.Join(dir, "vm.ini"), metrics: metrics}
}

// freeAddress returns a loopback address whose port was free when it was called.
func freeAddress(t *testing.T, network string) string {
	is := is.New(t)
	if network == "udp" {
		c, err := net.ListenUDP(network, net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		is.NoErr(err)
		defer c.Close()
		return c.LocalAddr().String()
	}
	l, err := net.Listen(network, "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	return l.Addr().String()
}

// Guards against a check that accepts keys of another VM, which run refuses.
func TestCheckConfig(t *testing.T) {
	is := is.New(t)
	o := execute("check-config", "--config", newTestVM(t, "cartago").config)
	is.Equal(o, outcome{exitOK, "settings of VM \"entry-1\" in region \"cartago\", zone \"cartago-norte\" are valid\n", ""})

	o = execute("check-config", "--config", newTestVM(t, "tn-north").config)
	is.Equal(o.code, exitFailure)
	is.True(strings.Contains(o.err, `for VM "entry-1" in region "tn-north"`))

	o = execute("check-config", "--config", filepath.Join(t.TempDir(), "none.ini"))
	is.Equal(o.code, exitFailure)
}

// syncBuffer is a bytes.Buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// eventually waits until ok returns true, or fails the test.
func eventually(t *testing.T, description string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met: %s", description)
		}
	}
}

// Guards against a daemon that starts in tests only. Settings, keys, store, metrics
// and signals are used as in production.
func TestRunFromSettingsFileToSignals(t *testing.T) {
	is := is.New(t)
	v := newTestVM(t, "cartago")
	log, code := &syncBuffer{}, make(chan int, 1)
	go func() {
		code <- run(context.Background(), []string{"knapweedshored", "run", "--config", v.config}, &bytes.Buffer{}, log)
	}()
	var vars struct {
		Knapweedshore struct{ Refusals map[string]int64 }
		Status        struct{ Self struct{ Name string } }
	}
	eventually(t, "metrics are served", func() bool {
		r, err := http.Get("http://" + v.metrics + metricsPath)
		if err != nil {
			return false
		}
		defer r.Body.Close()
		return json.NewDecoder(r.Body).Decode(&vars) == nil
	})
	is.Equal(vars.Status.Self.Name, "entry-1")
	_, ok := vars.Knapweedshore.Refusals["no_route"]
	is.True(ok)
	eventually(t, "daemon started", func() bool { return strings.Contains(log.String(), `"event":100`) })
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	eventually(t, "daemon leaving", func() bool { return strings.Contains(log.String(), `"event":101`) })
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGTERM))
	is.Equal(<-code, exitFailure)
	is.True(strings.Contains(log.String(), errKilled.Error()))
	for line := range strings.Lines(strings.TrimSuffix(log.String(), "\n")) {
		if strings.HasPrefix(line, "{") {
			is.True(strings.Contains(line, `"event":`)) // every log line has an event number
		}
	}
}
