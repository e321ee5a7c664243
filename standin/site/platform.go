package site

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
)

// Balancer is what a run needs of a running balancer.
type Balancer interface {
	// Leave ends the balancer without breaking a flow and returns when it has
	// left.
	Leave(ctx context.Context) error
	// Kill ends it at once, as a crash does.
	Kill()
	Status() *peerapi.StatusResponse
	// DataAddress is where the fabric sends packets.
	DataAddress() netip.AddrPort
}

// Platform starts balancers and carries out operators' commands.
type Platform interface {
	// Install makes the first version of the tables.
	Install(ctx context.Context, desired tables.Desired) error
	// Drain marks a backend server as draining.
	Drain(ctx context.Context, pool, server string) error
	// StartBalancer runs a balancer that sends packets for hosts to fabric.
	StartBalancer(ctx context.Context, vm VM, fabric netip.AddrPort) (Balancer, error)
	// Close ends what the platform still runs.
	Close()
}

const (
	// readyTimeout bounds the start of the balancers.
	readyTimeout = 15 * time.Second
	readyPoll    = 20 * time.Millisecond
)

// waitReady waits until the balancer has tables and the right to decide, and
// knows the given number of live members, itself included.
func waitReady(ctx context.Context, name string, b Balancer, members int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		s := b.Status()
		alive := aliveMembers(s)
		if s.GetTablesVersion() > 0 && s.GetStanding() && alive >= members {
			return nil
		}
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "wait for balancer %q: tables version %d, standing %t, %d of %d members alive",
				name, s.GetTablesVersion(), s.GetStanding(), alive, members)
		}
	}
}

func aliveMembers(s *peerapi.StatusResponse) int {
	n := 0
	for _, m := range s.GetMembers() {
		if m.GetState() == peerapi.MemberState_MEMBER_STATE_ALIVE {
			n++
		}
	}
	return n
}
