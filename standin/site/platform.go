package site

import (
	"context"
	"net/netip"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/tables"
	"knapweedshore.example/peerapi"
)

// Balancer is a running balancer of a Platform.
type Balancer interface {
	// Leave stops the balancer without breaking a flow. It returns when the
	// balancer has left.
	Leave(ctx context.Context) error
	// Kill stops the balancer immediately, like a crash.
	Kill()
	Status() *peerapi.StatusResponse
	// DataAddress returns the address to which the fabric sends packets.
	DataAddress() netip.AddrPort
}

// Platform starts balancers and executes operators' commands.
type Platform interface {
	// Install writes the first version of the tables.
	Install(ctx context.Context, desired tables.Desired) error
	// Drain marks a backend server as draining.
	Drain(ctx context.Context, pool, server string) error
	// StartBalancer starts a balancer that sends packets for hosts to the fabric
	// with the given address.
	StartBalancer(ctx context.Context, vm VM, fabric netip.AddrPort) (Balancer, error)
	// Close stops all remaining balancers.
	Close()
}

const (
	// readyTimeout limits the time until a started balancer is ready.
	readyTimeout = 15 * time.Second
	readyPoll    = 20 * time.Millisecond
)

// waitReady waits until the balancer has tables, is eligible to decide about flows
// and knows at least the given number of live members, including itself.
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
			return errors.Wrapf(ctx.Err(), "wait for balancer %q: tables version %d, eligible %t, %d of %d members alive",
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
