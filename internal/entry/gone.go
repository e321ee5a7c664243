package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/sourcegraph/conc"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/evidence"
	"knapweedshore.example/internal/metrics"
	"knapweedshore.example/internal/wait"
)

// probeCheckInterval is the interval at which servers that have to be probed are looked for.
const probeCheckInterval = 50 * time.Millisecond

// newEvidence returns the kinds of evidence that the daemon shares with its peers.
func (d *Daemon) newEvidence() *evidence.Pool {
	sources := []evidence.Source{d.placer}
	if d.options.Settings.AvoidFailingServers {
		sources = append(sources, d.outcomes)
	}
	if d.silences != nil {
		sources = append(sources, d.silences)
	}
	return evidence.NewPool(sources...)
}

func (d *Daemon) newSilences() *evidence.Silences {
	return evidence.NewSilences(evidence.SilencesOptions{
		Self: d.options.Settings.Peer.Addr(), Zone: d.options.Settings.Zone,
		Directory: func(now time.Time) (*directory.Directory, time.Duration) {
			return d.follower.Current(), d.follower.Age(now)
		},
		LastPause: func(now time.Time) time.Time {
			if p := d.pauses.Tick(now); p != nil {
				return p.End
			}
			return time.Time{}
		},
		OnNews: func() { d.exchange.ReportNews() },
		Draw:   rand.Float64,
	}, time.Now())
}

// probeLoop connects to servers that may be gone, until ctx ends.
func (d *Daemon) probeLoop(ctx context.Context) {
	if d.silences == nil {
		return
	}
	var probes conc.WaitGroup
	defer probes.Wait()
	for wait.For(ctx, probeCheckInterval) {
		for _, server := range d.silences.DueProbes(time.Now()) {
			d.options.Metrics.Count(metrics.ServerProbes, 1)
			probes.Go(func() {
				ok, result := probe(ctx, server)
				d.silences.Probed(server, ok, result, time.Now())
			})
		}
	}
}

// probe connects to a server's address. Errors other than a refusal and a timeout show
// nothing, since their cause may be this VM.
func probe(ctx context.Context, server *directory.Server) (ok bool, result evidence.Probe) {
	dialer := net.Dialer{Timeout: evidence.ConnectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp4", server.Endpoint.String())
	var timeout net.Error
	switch {
	case err == nil:
		_ = conn.Close() // nothing was sent
		return true, evidence.ProbeNone
	case ctx.Err() != nil:
	case errors.Is(err, syscall.ECONNREFUSED):
		return false, evidence.ProbeRefused
	case errors.As(err, &timeout) && timeout.Timeout():
		return false, evidence.ProbeTimeout
	}
	return false, evidence.ProbeNone
}
