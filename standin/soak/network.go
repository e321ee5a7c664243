package soak

import (
	"fmt"
	"sync"
	"time"
)

// node is an endpoint of a link: a daemon, a server or the store.
type node struct {
	kind   byte // 'd' for a daemon, 's' for a server, 'p' for the platform's store
	number int
}

func daemonNode(i int) node { return node{'d', i} }
func serverNode(i int) node { return node{'s', i} }

var storeNode = node{'p', 0}

// String returns the name of the node.
func (n node) String() string { return fmt.Sprintf("%c%d", n.kind, n.number) }

// direction is one direction of the link between two nodes.
type direction struct{ from, to node }

// linkFaults are the faults of the links. Faults of several steps add up.
type linkFaults struct {
	mu     sync.Mutex
	cuts   map[direction]int
	delays map[direction]time.Duration
	conns  map[*relayedConn]direction // open connections
}

func newLinkFaults() *linkFaults {
	return &linkFaults{cuts: map[direction]int{}, delays: map[direction]time.Duration{}, conns: map[*relayedConn]direction{}}
}

// add cuts directions if cut is set, and adds a delay to them, until remove is called.
func (f *linkFaults) add(directions []direction, cut bool, delay time.Duration) (remove func()) {
	change := func(sign int) {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, d := range directions {
			if cut {
				f.cuts[d] += sign
			}
			f.delays[d] += time.Duration(sign) * delay
		}
	}
	change(1)
	return func() { change(-1) }
}

// state returns whether packets and data pass from one node to another, and their
// delay.
func (f *linkFaults) state(from, to node) (passes bool, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d := direction{from, to}
	return f.cuts[d] == 0, f.delays[d]
}

// track adds an open connection, so that forEachConn finds it.
func (f *linkFaults) track(r *relayedConn, d direction) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.conns[r] = d
}

func (f *linkFaults) untrack(r *relayedConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.conns, r)
}

// forEachConn calls do for each open connection of a node.
func (f *linkFaults) forEachConn(n node, do func(*relayedConn)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for r, d := range f.conns {
		if d.from == n || d.to == n {
			do(r)
		}
	}
}
