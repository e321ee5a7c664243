package platform

import (
	"net"
	"net/netip"
	"os"

	"github.com/go-faster/errors"
)

// Networks that may be claimed are 127.N.0.0/16 with N in this range; lower ones
// are left to other programs.
const (
	firstNetwork = 20
	networks     = 200
	lockPort     = 8166
)

// Network is a loopback network that a site of stand-ins has for itself, so that
// sites of several processes can use the same ports.
type Network struct {
	number byte
	lock   net.Listener
}

// ClaimNetwork returns a network that no other process has claimed.
func ClaimNetwork() (*Network, error) {
	var last error
	for i := range networks {
		n := &Network{number: byte(firstNetwork + (os.Getpid()+i)%networks)}
		lock, err := net.Listen("tcp4", n.Addr(255, 254, lockPort).String())
		if err == nil {
			n.lock = lock
			return n, nil
		}
		last = err
	}
	return nil, errors.Wrap(last, "no loopback network is free")
}

// Addr returns an address of the network. Groups keep the kinds of machines
// apart.
func (n *Network) Addr(group, number byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, n.number, group, number}), port)
}

// Release lets others claim the network.
func (n *Network) Release() { _ = n.lock.Close() } // nothing was accepted
