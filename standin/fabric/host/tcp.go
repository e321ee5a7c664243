package host

import (
	"context"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/standin/fabric/inet"
)

const (
	// maxSegment keeps a full segment below the MTU of both IP versions.
	maxSegment = 1200
	// sendWindow is how many bytes may be unacknowledged.
	sendWindow = 16 * maxSegment
	// receiveWindow is the fixed window that is advertised.
	receiveWindow = 65_535
	// firstRetransmit is well above the round trip of a site.
	firstRetransmit = 200 * time.Millisecond
	// maxRetransmits bounds the attempts: with doubling waits a connection
	// gives up after 25 s without an acknowledgement.
	maxRetransmits = 6
	// lingerTime keeps an ended connection to acknowledge a repeated FIN.
	lingerTime = 2 * time.Second
)

// Errors that end a TCP connection.
var (
	// ErrRefused is a reset that answers a SYN.
	ErrRefused = errors.New("connection refused")
	// ErrReset is a reset of an open connection.
	ErrReset = errors.New("connection reset by peer")
	// ErrTimeout is data that stays unacknowledged after all retransmissions.
	ErrTimeout = errors.New("retransmission limit reached")
)

type tcpState int

const (
	synSent tcpState = iota
	synReceived
	established
	ended
)

// TCPConn is a connection with in-order delivery, cumulative acknowledgement,
// a fixed window and retransmission after a timeout. It has no congestion
// control, options or urgent data.
type TCPConn struct {
	host   *Host
	key    tcpKey
	local  netip.AddrPort
	accept func(c *TCPConn) // hands an incoming connection to its listener

	mu    sync.Mutex
	wake  *sync.Cond
	state tcpState
	err   error

	// Send side: out holds the bytes from unacked on; the FIN follows them.
	unacked, next, highest uint32
	out                    []byte
	finQueued, finAcked    bool

	// Receive side.
	expected uint32
	in       []byte
	early    map[uint32][]byte // segments that arrived before their predecessors
	earlyFin *uint32
	finSeen  bool

	retransmit   *time.Timer
	attempts     int
	retransmits  int
	readDeadline time.Time
	readTimer    *time.Timer
}

func newTCPConn(h *Host, key tcpKey, state tcpState, first uint32) *TCPConn {
	c := &TCPConn{
		host: h, key: key, local: netip.AddrPortFrom(h.addr, key.local), state: state,
		unacked: first, next: first + 1, highest: first + 1, early: make(map[uint32][]byte),
	}
	c.wake = sync.NewCond(&c.mu)
	return c
}

// initialSequence gives each connection of a host its own sequence numbers.
func (h *Host) initialSequence() uint32 { return h.id.Add(1) * 64_007 }

// DialTCP opens a connection. It returns ErrRefused when the SYN is answered
// with a reset.
func (h *Host) DialTCP(ctx context.Context, to netip.AddrPort) (*TCPConn, error) {
	c, err := h.newDial(to)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { c.abandon(ctx.Err()) })
	defer stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendControl(inet.SYN, c.unacked)
	c.arm()
	for c.state == synSent {
		c.wake.Wait()
	}
	if c.state == ended {
		return nil, errors.Wrapf(c.err, "connect to %q", to)
	}
	return c, nil
}

func (h *Host) newDial(to netip.AddrPort) (*TCPConn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	port, err := h.nextPort(func(p uint16) bool { return h.tcp[tcpKey{p, to}] != nil })
	if err != nil {
		return nil, err
	}
	key := tcpKey{local: port, remote: to}
	c := newTCPConn(h, key, synSent, h.initialSequence())
	h.tcp[key] = c
	return c, nil
}

// LocalAddrPort returns the connection's own end.
func (c *TCPConn) LocalAddrPort() netip.AddrPort { return c.local }

// RemoteAddrPort returns the peer's end.
func (c *TCPConn) RemoteAddrPort() netip.AddrPort { return c.key.remote }

// Retransmits returns how many timeouts led to a retransmission.
func (c *TCPConn) Retransmits() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retransmits
}

// SetReadDeadline ends later reads with os.ErrDeadlineExceeded.
func (c *TCPConn) SetReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.readTimer != nil {
		c.readTimer.Stop()
	}
	if !t.IsZero() {
		c.readTimer = time.AfterFunc(time.Until(t), func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.wake.Broadcast()
		})
	}
}

func (c *TCPConn) readExpired() error {
	if !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline) {
		return os.ErrDeadlineExceeded
	}
	return nil
}
