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
	// maxSegmentSize in bytes keeps packets below MTU with IPv4 and IPv6 headers.
	maxSegmentSize = 1200
	// sendWindow is the maximum number of unacknowledged bytes.
	sendWindow = 16 * maxSegmentSize
	// receiveWindow is the advertised window in bytes, which never changes.
	receiveWindow = 65_535
	// initialRetransmitTimeout is well above the round-trip time in a simulated
	// site.
	initialRetransmitTimeout = 200 * time.Millisecond
	// maxRetransmits limits the retransmissions of a segment. The timeout doubles
	// each time, so a connection fails after 25 s without an acknowledgement.
	maxRetransmits = 6
	// timeWaitDuration is how long a connection that both sides have closed is
	// kept, in order to acknowledge a retransmitted FIN.
	timeWaitDuration = 2 * time.Second
)

// Errors that end a TCP connection.
var (
	// ErrRefused means that the peer answered the SYN with a reset.
	ErrRefused = errors.New("connection refused")
	// ErrReset means that the peer reset an open connection.
	ErrReset = errors.New("connection reset by peer")
	// ErrTimeout means that the peer did not acknowledge a segment after
	// maxRetransmits retransmissions.
	ErrTimeout = errors.New("retransmission limit reached")
)

type tcpState int

const (
	synSent tcpState = iota
	synReceived
	established
	closed
)

// TCPConn is a TCP connection with in-order delivery, cumulative acknowledgements,
// a fixed window and retransmission after a timeout. It does not implement
// congestion control, options or urgent data.
type TCPConn struct {
	host          *Host
	key           tcpKey
	local         netip.AddrPort
	onEstablished func(c *TCPConn) // passes an incoming connection to its listener

	mu      sync.Mutex
	changed *sync.Cond // signals state, buffer and deadline changes
	state   tcpState
	err     error

	// Send side: sendUnacked is the oldest unacknowledged sequence number,
	// sendNext the next to send, and sendMax the highest value that sendNext has
	// had. sendBuffer holds the bytes from sendUnacked on; a FIN follows them.
	sendUnacked, sendNext, sendMax uint32
	sendBuffer                     []byte
	finQueued, finAcked            bool

	// Receive side: receiveNext is the next expected sequence number.
	receiveNext   uint32
	receiveBuffer []byte
	outOfOrder    map[uint32][]byte // segments after a gap, by sequence number
	peerFinSeq    *uint32
	finReceived   bool

	retransmitTimer *time.Timer
	attempts        int // timeouts since the last acknowledgement
	retransmits     int // timeouts so far
	readDeadline    time.Time
	readTimer       *time.Timer
}

func newTCPConn(h *Host, key tcpKey, state tcpState, initialSeq uint32) *TCPConn {
	c := &TCPConn{
		host: h, key: key, local: netip.AddrPortFrom(h.addr, key.local), state: state,
		sendUnacked: initialSeq, sendNext: initialSeq + 1, sendMax: initialSeq + 1, outOfOrder: make(map[uint32][]byte),
	}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// initialSequence returns an initial sequence number. Those of a host's
// consecutive connections are far apart.
func (h *Host) initialSequence() uint32 { return h.lastID.Add(1) * 64_007 }

// DialTCP opens a connection. It returns ErrRefused if the peer answers the SYN
// with a reset.
func (h *Host) DialTCP(ctx context.Context, to netip.AddrPort) (*TCPConn, error) {
	c, err := h.registerDial(to)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { c.abort(ctx.Err()) })
	defer stop()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendControl(inet.SYN, c.sendUnacked)
	c.resetRetransmitTimer()
	for c.state == synSent {
		c.changed.Wait()
	}
	if c.state == closed {
		return nil, errors.Wrapf(c.err, "connect to %q", to)
	}
	return c, nil
}

// registerDial creates a connection with an unused local port.
func (h *Host) registerDial(to netip.AddrPort) (*TCPConn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	port, err := h.allocatePort(func(p uint16) bool { return h.tcp[tcpKey{p, to}] != nil })
	if err != nil {
		return nil, err
	}
	key := tcpKey{local: port, remote: to}
	c := newTCPConn(h, key, synSent, h.initialSequence())
	h.tcp[key] = c
	return c, nil
}

// LocalAddrPort returns the local endpoint.
func (c *TCPConn) LocalAddrPort() netip.AddrPort { return c.local }

// RemoteAddrPort returns the peer's endpoint.
func (c *TCPConn) RemoteAddrPort() netip.AddrPort { return c.key.remote }

// Retransmits returns the number of retransmissions after a timeout.
func (c *TCPConn) Retransmits() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retransmits
}

// SetReadDeadline sets the time after which Read and WaitClosed fail with
// os.ErrDeadlineExceeded. The zero time removes the deadline.
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
			c.changed.Broadcast()
		})
	}
}

// checkReadDeadline returns os.ErrDeadlineExceeded after the read deadline. The
// caller holds c.mu.
func (c *TCPConn) checkReadDeadline() error {
	if !c.readDeadline.IsZero() && !time.Now().Before(c.readDeadline) {
		return os.ErrDeadlineExceeded
	}
	return nil
}
