package balancer

import (
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"knapweedshore.example/internal/carrier"
	"knapweedshore.example/internal/events"
	"knapweedshore.example/internal/forward"
	"knapweedshore.example/internal/metrics"
)

// forwardLoop reads batches of packets from one connection and sends the packets
// that the engine returns, until the connection is closed.
func (b *Balancer) forwardLoop(conn carrier.Conn) error {
	in := make([]carrier.Incoming, carrier.BatchSize)
	out := forward.NewOutput(carrier.BatchSize)
	for {
		n, err := conn.ReadBatch(in)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			b.log.Log(events.DaemonFailed, zap.String("step", "read packets"), zap.Error(err))
			return err
		}
		// The time is read after ReadBatch has returned, so that the engine notices
		// if the daemon was paused in the call.
		now := time.Now()
		for i := range in[:n] {
			b.engine.Handle(&in[i], out, now)
		}
		b.flush(conn, out)
	}
}

// flush sends the packets in out. It counts and drops a packet that cannot be
// sent; the endpoints retransmit it.
func (b *Balancer) flush(conn carrier.Conn, out *forward.Output) {
	packets := out.Packets
	for len(packets) > 0 {
		n, err := conn.WriteBatch(packets)
		packets = packets[n:]
		if err == nil {
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			break
		}
		b.metrics.Refused(metrics.SendFailed)
		packets = packets[1:]
	}
	out.Reset()
}
