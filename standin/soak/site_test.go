package soak

import (
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

func newTestSite(t *testing.T) *site {
	t.Helper()
	s, err := newSite(Config{Seed: 1, Zones: 1, DaemonsPerZone: 3}, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.close)
	return s
}

// Guards against a relay that reads the sockets of the site while the site still opens
// them, which the race detector reports.
func TestFirstRelayForwardsFromTheLastDaemon(t *testing.T) {
	is := is.New(t)
	s := newTestSite(t)
	first, last := s.machines[0], s.machines[len(s.machines)-1]
	listen := func(addr netip.AddrPort) *net.UDPConn {
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
		is.NoErr(err)
		t.Cleanup(func() { _ = conn.Close() }) // nothing is written any more
		return conn
	}
	sender, receiver := listen(last.peerListen), listen(first.peerListen)
	_, err := sender.WriteToUDPAddrPort([]byte("report"), first.peer)
	is.NoErr(err)

	is.NoErr(receiver.SetReadDeadline(time.Now().Add(5 * time.Second)))
	buffer := make([]byte, 64)
	n, from, err := receiver.ReadFromUDPAddrPort(buffer)
	is.NoErr(err)
	is.Equal(string(buffer[:n]), "report")
	is.Equal(from, last.peer)
}

// Guards against two steps that rewrite the settings of a daemon at the same time
// through one temporary file, so that the second one finds nothing to rename.
func TestConcurrentStepsRewriteSettings(t *testing.T) {
	is := is.New(t)
	m := newTestSite(t).machines[0]
	const writers, rewrites = 8, 50
	failures := make(chan error, writers*rewrites)
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			for range rewrites {
				if err := m.writeSettings("debug"); err != nil {
					failures <- err
				}
			}
		})
	}
	group.Wait()
	close(failures)
	for err := range failures {
		is.NoErr(err)
	}
}

// Guards against the memory of the soak counting as that of a daemon, which is forked
// from it: with 46 daemons, the soak takes more than a daemon may.
func TestMemoryOfTheSoakDoesNotCount(t *testing.T) {
	is := is.New(t)
	const limit = 64 << 20
	ballast := make([]byte, 2*limit)
	for i := 0; i < len(ballast); i += 4096 {
		ballast[i] = 1
	}
	s := newTestSite(t)
	violations := func() int {
		s.checker.mu.Lock()
		defer s.checker.mu.Unlock()
		return len(s.checker.violations)
	}
	play := func(m *machine, maxMemory int64) {
		m.config.MaxMemory = maxMemory
		m.config.Command = func(string) (string, []string, []string) { return "/bin/sleep", []string{"60"}, nil }
		m.start()
		time.Sleep(4 * memoryInterval)
		m.kill()
	}
	play(s.machines[0], limit)
	is.Equal(violations(), 0)
	play(s.machines[1], 1) // less than any process takes
	is.Equal(violations(), 1)
	is.True(ballast[0] == 1)
}
