package carrier

import (
	"errors"
	"net"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"knapweedshore.example/internal/metrics"
)

var (
	loopback4 = netip.MustParseAddrPort("127.0.0.1:0")
	loopback6 = netip.MustParseAddrPort("[::1]:0")

	inner4 = []byte{0x45, 0, 0, 20, 1, 2, 3, 4}
)

func mustListen(t testing.TB, addr netip.AddrPort, workers int, opts ...Option) []Conn {
	conns, err := Listen(addr, workers, opts...)
	is.New(t).NoErr(err)
	t.Cleanup(func() { closeAll(conns) })
	return conns
}

// receiveN reads until it has n packets and copies their inner packets.
func receiveN(t testing.TB, c Conn, n int) []Incoming {
	var got []Incoming
	in := make([]Incoming, BatchSize)
	for len(got) < n {
		m, err := c.ReadBatch(in)
		is.New(t).NoErr(err)
		for _, p := range in[:m] {
			p.Inner = append([]byte(nil), p.Inner...)
			got = append(got, p)
		}
	}
	return got
}

// Guards against packets that are lost or mixed up when one call needs several
// batches, and against a wrong sender address, for both IP versions.
func TestBatchesArriveInOrder(t *testing.T) {
	for _, addr := range []netip.AddrPort{loopback4, loopback6} {
		is := is.New(t)
		from, to := mustListen(t, addr, 1)[0], mustListen(t, addr, 1)[0]
		out := make([]Outgoing, BatchSize+3)
		for i := range out {
			hop := Hop{Kind: HopKind(i % 4)}
			if hop.Kind != HopNone {
				hop.Count = uint8(i)
			}
			out[i] = Outgoing{Inner: []byte{0x45, byte(i), 9}, To: to.LocalAddr(), Hop: hop}
		}
		n, err := from.WriteBatch(out)
		is.NoErr(err)
		is.Equal(n, len(out))
		for i, p := range receiveN(t, to, len(out)) {
			is.Equal(p, Incoming{Inner: out[i].Inner, From: from.LocalAddr(), Hop: out[i].Hop})
		}
	}
}

// Guards against workers that do not share one address: every packet must be
// received by exactly one of them.
func TestWorkersShareOneAddress(t *testing.T) {
	is := is.New(t)
	workers := mustListen(t, loopback4, 3)
	const senders = 24
	arrived := make(chan byte)
	for _, w := range workers {
		is.Equal(w.LocalAddr(), workers[0].LocalAddr())
		go func() {
			in := make([]Incoming, 4)
			for {
				n, err := w.ReadBatch(in)
				if err != nil {
					return
				}
				for _, p := range in[:n] {
					arrived <- p.Inner[1]
				}
			}
		}()
	}
	for i := range senders {
		c := mustListen(t, loopback4, 1)[0]
		_, err := c.WriteBatch([]Outgoing{{Inner: []byte{0x45, byte(i)}, To: workers[0].LocalAddr()}})
		is.NoErr(err)
	}
	seen := map[byte]bool{}
	for range senders {
		seen[<-arrived] = true
	}
	is.Equal(len(seen), senders)
}

// Guards against two daemons that unknowingly share a port, so that each receives
// half of the packets.
func TestListenFailsWhenAddressIsTaken(t *testing.T) {
	is := is.New(t)
	first := mustListen(t, loopback4, 2)
	_, err := Listen(first[0].LocalAddr(), 2)
	is.True(err != nil)
}

// Guards against datagrams that are accepted although they should be refused, are
// not counted, or end ReadBatch with an error.
func TestRefusedDatagramsAreCounted(t *testing.T) {
	is := is.New(t)
	reg := metrics.NewRegistry()
	c := mustListen(t, loopback4, 1, CountRefusals(reg))[0]
	sock, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(c.LocalAddr()))
	is.NoErr(err)
	defer sock.Close()
	good := append(AppendHeader(nil, inner4, Hop{}), inner4...)
	long := append(append([]byte(nil), good...), make([]byte, MaxDatagram)...)
	for _, b := range [][]byte{{}, {1, 2}, long, {0x40, 0, 8, 0, 0, 0, 0, 0, 0x45}, good} {
		_, err := sock.Write(b)
		is.NoErr(err)
	}
	is.Equal(receiveN(t, c, 1)[0].Inner, inner4)
	is.Equal(reg.Refusals().Value(metrics.Truncated), int64(3))
	is.Equal(reg.Refusals().Value(metrics.UnsupportedHeader), int64(1))
	is.Equal(reg.Refusals().Sum(), int64(4))
}

// Guards against losing the rest of a batch when one of its packets cannot be sent.
func TestWriteBatchNamesThePacketNotSent(t *testing.T) {
	is := is.New(t)
	from, to := mustListen(t, loopback4, 1)[0], mustListen(t, loopback4, 1)[0]
	ok := Outgoing{Inner: inner4, To: to.LocalAddr()}
	tooLong := Outgoing{Inner: append([]byte{0x45}, make([]byte, 1<<16)...), To: to.LocalAddr()}
	out := []Outgoing{ok, ok, tooLong, ok}
	n, err := from.WriteBatch(out)
	is.True(err != nil)
	is.Equal(n, 2)
	n, err = from.WriteBatch(out[n+1:])
	is.NoErr(err)
	is.Equal(n, 1)
	is.Equal(len(receiveN(t, to, 3)), 3)
}

// Guards against a daemon that cannot stop because a worker waits for packets.
func TestCloseEndsReadBatch(t *testing.T) {
	is := is.New(t)
	c := mustListen(t, loopback4, 1)[0]
	done := make(chan error)
	go func() {
		_, err := c.ReadBatch(make([]Incoming, 1))
		done <- err
	}()
	is.NoErr(c.Close())
	is.True(errors.Is(<-done, net.ErrClosed))
}
