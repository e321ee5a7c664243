package soak

import (
	"fmt"
	"sync"
	"time"
)

// node is an end of a link: a daemon, a server or the store.
type node struct {
	kind   byte
	number int
}

func daemonNode(i int) node { return node{'d', i} }
func serverNode(i int) node { return node{'s', i} }

var storeNode = node{'p', 0}

// String returns the name of the node.
func (n node) String() string { return fmt.Sprintf("%c%d", n.kind, n.number) }

// direction is one direction of a link.
type direction struct{ from, to node }

// conditions are the faults of the links. Faults of several steps add up.
type conditions struct {
	mu     sync.Mutex
	cuts   map[direction]int
	delays map[direction]time.Duration
	conns  map[*relayed]direction
}

func newConditions() *conditions {
	return &conditions{cuts: map[direction]int{}, delays: map[direction]time.Duration{}, conns: map[*relayed]direction{}}
}

// add cuts and delays directions until the returned function is called.
func (c *conditions) add(directions []direction, cut bool, delay time.Duration) (remove func()) {
	change := func(sign int) {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, d := range directions {
			if cut {
				c.cuts[d] += sign
			}
			c.delays[d] += time.Duration(sign) * delay
		}
	}
	change(1)
	return func() { change(-1) }
}

// of returns whether a direction passes, and after which delay.
func (c *conditions) of(from, to node) (passes bool, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := direction{from, to}
	return c.cuts[d] == 0, c.delays[d]
}

// track keeps a connection for resets and silence.
func (c *conditions) track(r *relayed, d direction) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[r] = d
}

func (c *conditions) untrack(r *relayed) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, r)
}

// disturb resets or silences the connections of a node that are open now. New ones
// work.
func (c *conditions) disturb(n node, do func(*relayed)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for r, d := range c.conns {
		if d.from == n || d.to == n {
			do(r)
		}
	}
}
