package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/standin/backend"
	"knapweedshore.example/standin/fabric/host"
)

// responseTimeout is how long a TCP caller waits for the next byte of a
// response. It is longer than the balancers need to repair flows after a crash.
const responseTimeout = 15 * time.Second

// TCP runs scripted flows from one host to one service.
type TCP struct {
	Host    *host.Host
	Service netip.AddrPort
}

// Run opens a flow and runs the script. It stops at the first step that fails.
func (t *TCP) Run(ctx context.Context, script Script) Result {
	f := &tcpFlow{caller: t, result: Result{Opened: time.Now()}}
	f.result.finish(ctx, f.run(ctx, script))
	f.result.Ended = time.Now()
	if f.conn != nil {
		f.result.Retransmits = f.conn.Retransmits()
	}
	return f.result
}

// tcpFlow is a running flow of a TCP caller.
type tcpFlow struct {
	caller *TCP
	conn   *host.TCPConn
	reader *bufio.Reader
	sentAt []time.Time // of each request
	result Result
}

func (f *tcpFlow) run(ctx context.Context, script Script) error {
	for i, step := range script {
		if err := f.step(ctx, step); err != nil {
			if f.conn != nil {
				f.conn.Reset()
			}
			return errors.Wrapf(err, "step %d", i)
		}
	}
	return nil
}

// step carries out one step of the script.
func (f *tcpFlow) step(ctx context.Context, s Step) error {
	if f.conn == nil && s.Action != Open {
		return errors.New("script must begin with Open")
	}
	switch s.Action {
	case Open:
		return f.open(ctx)
	case Send:
		f.result.Requests = append(f.result.Requests, s.Request)
		f.sentAt = append(f.sentAt, time.Now())
		_, err := io.WriteString(f.conn, s.Request.Line())
		return err
	case Expect:
		return f.expect(ctx)
	case HalfClose:
		f.conn.CloseWrite()
		return nil
	case ExpectEnd:
		return f.expectEnd()
	case Reset:
		f.conn.Reset()
		return nil
	case Pause:
		return pause(ctx, s.Pause)
	}
	return errors.Errorf("unknown action %d", s.Action)
}

// open connects to the service.
func (f *tcpFlow) open(ctx context.Context) error {
	conn, err := f.caller.Host.DialTCP(ctx, f.caller.Service)
	if errors.Is(err, host.ErrTimeout) {
		return broken(ConnectTimeout, err)
	}
	if err != nil {
		return err
	}
	f.conn, f.result.Caller = conn, conn.LocalAddrPort()
	f.reader = bufio.NewReader(deadlineReader{conn})
	return nil
}

// deadlineReader limits each read to responseTimeout.
type deadlineReader struct{ conn *host.TCPConn }

// Read implements io.Reader.
func (r deadlineReader) Read(b []byte) (int, error) {
	r.conn.SetReadDeadline(time.Now().Add(responseTimeout))
	return r.conn.Read(b)
}

// expect reads the response to the oldest unanswered request and records its
// latency.
func (f *tcpFlow) expect(ctx context.Context) error {
	answered := len(f.result.Latencies)
	if answered == len(f.result.Requests) {
		return errors.New("script expects more responses than it sent requests")
	}
	stop := context.AfterFunc(ctx, f.conn.Reset)
	defer stop()
	r := f.result.Requests[answered]
	if err := f.readResponse(r); err != nil {
		return err
	}
	f.result.Latencies = append(f.result.Latencies, time.Since(f.sentAt[answered]))
	return nil
}

// readResponse reads and checks one response.
func (f *tcpFlow) readResponse(r backend.Request) error {
	line, err := f.reader.ReadString('\n')
	if err != nil {
		return errors.Wrapf(err, "read response to %s %q", r.Operation, r.ID)
	}
	var (
		status string
		length int64
	)
	if _, err := fmt.Sscanf(line, "%s %d\n", &status, &length); err != nil {
		return broken(WrongAnswer, errors.Wrapf(err, "response line %q", line))
	}
	switch status {
	case backend.StatusOK:
		return verify(r, f.reader, length)
	case backend.StatusLoadShed:
		return refused(LoadShed, errors.Errorf("%s %q: status %s", r.Operation, r.ID, status))
	}
	return broken(WrongAnswer, errors.Errorf("%s %q: status %s", r.Operation, r.ID, status))
}

// expectEnd checks that the server closes the connection without more data.
func (f *tcpFlow) expectEnd() error {
	switch _, err := f.reader.ReadByte(); {
	case err == nil:
		return broken(DataAfterResponse, errors.New("data after the last response"))
	case !errors.Is(err, io.EOF):
		return err
	}
	return f.conn.WaitClosed()
}
