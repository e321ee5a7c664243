package platform

import (
	"net"
	"net/netip"
	"os"

	"github.com/go-faster/errors"
)

// The networks that may be claimed are 127.N.0.0/16 with N from minNetwork to
// minNetwork+networkCount-1. Lower ones are left to other programs. A process claims a
// network by listening on its lockPort.
const (
	minNetwork   = 20
	networkCount = 200
	lockPort     = 8166
)

// Network is a loopback network that one site of stand-ins uses exclusively, so that
// sites in several processes can use the same ports.
type Network struct {
	number byte
	lock   net.Listener
}

// ClaimNetwork returns a network that no other process has claimed.
func ClaimNetwork() (*Network, error) {
	var lastErr error
	for i := range networkCount {
		n := &Network{number: byte(minNetwork + (os.Getpid()+i)%networkCount)}
		lock, err := net.Listen("tcp4", n.Addr(255, 254, lockPort).String())
		if err == nil {
			n.lock = lock
			return n, nil
		}
		lastErr = err
	}
	return nil, errors.Wrap(lastErr, "no loopback network is free")
}

// Addr returns an address in the network. Each kind of machine has its own group of
// addresses.
func (n *Network) Addr(group, number byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n.number, group, number}), port)
}

// Release allows other processes to claim the network.
func (n *Network) Release() { _ = n.lock.Close() } // the listener has no connections
