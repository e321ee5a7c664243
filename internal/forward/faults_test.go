package forward

import (
	"fmt"
	"hash/fnv"
	"sync/atomic"
	"testing"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/tables"
)

// severity tells whether a fault may break a flow. No fault may deliver packets
// to a wrong service, mix up responses or execute a request twice.
type severity int

const (
	// planned changes must not break a flow.
	planned severity = iota
	// crash must not break a flow if it is the only crash. Several crashes may
	// break a UDP flow that is not on its default server; probes find the
	// server of a TCP flow.
	crash
	// doubleCrash is several crashes at once.
	doubleCrash
	// fatal faults may break the flow, because its server loses it.
	fatal
)

// fault is an event that a trial injects before a step of its flow.
type fault struct {
	name     string
	severity severity
	inject   func(*trial)
}

var faults = []fault{
	{"join", planned, func(tr *trial) { tr.join() }},
	{"owner leaves", planned, func(tr *trial) { tr.setState(tr.owner(), member.Leaving) }},
	{"other leaves", planned, func(tr *trial) { tr.setState(tr.otherMember(), member.Leaving) }},
	{"server drains", planned, func(tr *trial) { tr.drain() }},
	{"server removed", planned, func(tr *trial) { tr.remove() }},
	{"server added", planned, func(tr *trial) {
		tr.change(tables.PutServer{Pool: tr.pool, Server: backend(9)}) // adding it a second time changes nothing
	}},
	{"server reweighted", planned, func(tr *trial) {
		tr.change(tables.PutServer{Pool: tr.currentPool(), Server: reweighted(tr.anyServer(), 5)})
	}},
	{"route moves to another pool", planned, func(tr *trial) { tr.movePool() }},
	{"change reaches one VM late", planned, func(tr *trial) { tr.lateTables() }},
	{"join reaches one VM late", planned, func(tr *trial) { tr.lateJoin() }},
	{"owner crashes", crash, func(tr *trial) { tr.kill(tr.owner()) }},
	{"backup crashes", crash, func(tr *trial) { tr.kill(tr.backup()) }},
	{"owner pauses", crash, func(tr *trial) { tr.freeze(tr.owner()) }},
	{"owner and backup crash", doubleCrash, func(tr *trial) { owner, backup := tr.owner(), tr.backup(); tr.kill(owner); tr.kill(backup) }},
	{"server crashes", fatal, func(tr *trial) { tr.eachConnected(func(h *host) { h.down = true }) }},
	{"server forgets the flow", fatal, func(tr *trial) { tr.eachConnected(func(h *host) { clear(h.conns) }) }},
}

// owner returns the node that owns the flow.
func (tr *trial) owner() *node { return tr.cluster.nodes[tr.ownerName()] }

func (tr *trial) ownerName() member.Name {
	for _, n := range tr.cluster.order {
		if n.record.State == member.Alive && n.engine.view.Load().Eligible {
			return n.engine.view.Load().Map.OwnerName(slotOf(tr.protocol, tr.caller))
		}
	}
	return ""
}

// backup returns the backup of the flow's owner.
func (tr *trial) backup() *node {
	record, _ := tr.owner().tracker.last.Backup(tr.ownerName())
	return tr.cluster.nodes[record.Name]
}

// aliveCount returns the number of members that are alive.
func (tr *trial) aliveCount() int {
	n := 0
	for _, o := range tr.cluster.order {
		if o.record.State == member.Alive {
			n++
		}
	}
	return n
}

// otherMember returns a live node that does not own the flow.
func (tr *trial) otherMember() *node {
	for _, n := range tr.cluster.order {
		if n.record.State == member.Alive && n.name != tr.ownerName() {
			return n
		}
	}
	return nil
}

// setState changes the state of a member, unless only two are alive.
func (tr *trial) setState(n *node, s member.State) {
	if n == nil || tr.aliveCount() <= 2 {
		return
	}
	n.record.State = s
	tr.cluster.refresh()
}

// kill stops a node. The others detect it later.
func (tr *trial) kill(n *node) {
	if n == nil || tr.aliveCount() <= 2 || n.record.State == member.Dead {
		return
	}
	views := make(map[*node]*View)
	for _, o := range tr.cluster.order {
		views[o] = o.engine.view.Load()
	}
	n.record.State = member.Dead
	tr.onDetection = append(tr.onDetection, tr.cluster.refresh)
}

// freeze stops a node until the others have declared it dead. It then resumes
// without being eligible, and rejoins with a new incarnation.
func (tr *trial) freeze(n *node) {
	if n == nil || tr.aliveCount() <= 2 || n.record.State == member.Dead {
		return
	}
	n.record.State = member.Dead
	tr.onDetection = append(tr.onDetection, tr.cluster.refresh, func() {
		n.record.State = member.Alive
		n.record.Incarnation++
		tr.cluster.refreshNode(n, false)
		tr.checkIneligible(n)
		tr.cluster.refresh()
	})
}

// checkIneligible checks that a node that is not eligible opens no flow.
func (tr *trial) checkIneligible(n *node) {
	before := n.flows()
	tr.cluster.send(n, tr.build(callerAt(9999), tr.service.AddrPort, openMessage))
	if n.flows() != before {
		tr.addViolation("an ineligible VM opened a flow")
	}
}

// join adds a node that every member learns of at once.
func (tr *trial) join() *node {
	tr.joined++
	n := tr.cluster.addNode(member.Name(fmt.Sprint("new-", tr.joined)))
	tr.cluster.refreshNode(n, false)
	tr.cluster.refresh()
	return n
}

// lateJoin adds a node that one member learns of only at the next detection.
func (tr *trial) lateJoin() {
	late := tr.otherMember()
	old, tracker := late.engine.view.Load(), *late.tracker
	tr.join()
	late.engine.SetView(old)
	*late.tracker = tracker
	tr.onDetection = append(tr.onDetection, tr.cluster.refresh)
}

func (tr *trial) change(ops ...tables.Operation) { tr.cluster.applyOperations(ops...) }

// anyServer returns the first server of the pool that the flow's service uses.
func (tr *trial) anyServer() tables.Server {
	p, _ := tr.cluster.tables.Pool(tr.currentPool())
	return p.Servers[0]
}

// currentPool returns the name of the pool that the flow's service uses.
func (tr *trial) currentPool() string {
	for _, r := range tr.cluster.tables.Routes() {
		if r.Address == tr.service {
			return r.Pool
		}
	}
	return tr.pool
}

// connected returns the server that the flow is on, or else any server of the
// service, with its pool. It reports whether the pool has other servers.
func (tr *trial) connected() (tables.Server, string, bool) {
	for _, p := range tr.cluster.tables.Pools() {
		for _, s := range p.Servers {
			h := tr.hosts[s.Endpoint]
			if _, known := h.conns[tr.caller]; known && len(p.Servers) > 1 {
				return s, p.Name, true
			}
		}
	}
	p, _ := tr.cluster.tables.Pool(tr.currentPool())
	return p.Servers[0], p.Name, len(p.Servers) > 1
}

// eachConnected calls f for every host that has the connection.
func (tr *trial) eachConnected(f func(*host)) {
	for _, h := range tr.hosts {
		if _, known := h.conns[tr.caller]; known {
			f(h)
		}
	}
}

// drain drains the flow's server.
func (tr *trial) drain() {
	s, pool, ok := tr.connected()
	if !ok {
		return
	}
	s.State = tables.Draining
	tr.change(tables.PutServer{Pool: pool, Server: s})
	tr.hosts[s.Endpoint].draining = true
}

// remove removes the flow's server from its pool.
func (tr *trial) remove() {
	s, pool, ok := tr.connected()
	if p, _ := tr.cluster.tables.Pool(pool); ok && len(p.Servers) > 1 {
		tr.change(tables.DeleteServer{Pool: pool, Name: s.Name})
	}
}

// movePool moves the route between its first pool and a spare one.
func (tr *trial) movePool() {
	name := "spare"
	if tr.currentPool() == name {
		name = tr.pool
	}
	ops := []tables.Operation{tables.PutRoute{Name: tr.pool, Address: tr.service, Pool: name}}
	if _, ok := tr.cluster.tables.Pool("spare"); !ok {
		ops = append(ops, tables.PutPool{Name: "spare", Servers: []tables.Server{backend(7), backend(8)}})
	}
	tr.change(ops...)
}

// lateTables drains the flow's server; one node learns of it only at the next
// detection.
func (tr *trial) lateTables() {
	late := tr.entry()
	old, oldTables := tr.cluster.tables, late.engine.tables.Load()
	s, pool, ok := tr.connected()
	if !ok || s.State == tables.Draining {
		return
	}
	s.State = tables.Draining
	tr.change(tables.PutServer{Pool: pool, Server: s})
	late.engine.tables.Store(oldTables)
	current := tr.cluster.tables
	tr.onDetection = append(tr.onDetection, func() {
		late.engine.ApplyTables(tr.cluster.tables, tr.cluster.now)
		late.engine.Reassess(old, current, tr.cluster.now)
	})
}

// cell is one combination of faults, steps, protocol and times between steps.
type cell struct {
	first, second         fault
	firstStep, secondStep int
	protocol              tables.Protocol
	long                  bool
}

func (c cell) String() string {
	s := fmt.Sprintf("%s before %s", c.first.name, stepNames[c.firstStep])
	if c.second.inject != nil {
		s += fmt.Sprintf(", then %s before %s", c.second.name, stepNames[c.secondStep])
	}
	return fmt.Sprintf("%s (%s, long pauses %v)", s, c.protocol, c.long)
}

// mayBreak reports whether the faults of the cell may break the flow.
func (c cell) mayBreak() bool {
	worst, crashes := planned, 0
	for _, f := range c.faults() {
		worst = max(worst, f.severity)
		if f.severity == crash {
			crashes++
		}
	}
	if worst == fatal {
		return true
	}
	return c.protocol == tables.UDP && (worst == doubleCrash || crashes > 1)
}

// faults returns the one or two faults of the cell.
func (c cell) faults() []fault {
	if c.second.inject == nil {
		return []fault{c.first}
	}
	return []fault{c.first, c.second}
}

// run runs the cell in a new trial.
func (c cell) run(t *testing.T) *trial {
	h := fnv.New64a()
	fmt.Fprint(h, c)
	tr := newTrial(t, c.protocol, h.Sum64())
	injected := map[int][]fault{c.firstStep: {c.first}}
	if c.second.inject != nil {
		injected[c.secondStep] = append(injected[c.secondStep], c.second)
	}
	tr.run(injected, c.long)
	return tr
}

// Guards against any combination of two faults, at any steps of a flow, that
// breaks the flow when it need not, delivers a packet to a wrong service, mixes
// up responses, refuses an executed request, or executes a request twice.
func TestFaultMatrix(t *testing.T) {
	var cells, broken, allowed atomic.Int64
	t.Run("cells", func(t *testing.T) {
		for _, first := range faults {
			t.Run(first.name, func(t *testing.T) {
				t.Parallel()
				for _, c := range cellsOf(first) {
					cells.Add(1)
					if c.mayBreak() {
						allowed.Add(1)
					}
					if c.check(t) {
						broken.Add(1)
					}
				}
			})
		}
	})
	t.Logf("%d cells, 6 promises checked in each; %d flows broken in %d cells whose faults may break them",
		cells.Load(), broken.Load(), allowed.Load())
}

// check runs the cell, reports every broken promise, and returns whether the
// flow was broken.
func (c cell) check(t *testing.T) bool {
	tr := c.run(t)
	for _, v := range tr.violations {
		t.Errorf("%s: %s", c, v)
	}
	broken := tr.broken || tr.refused
	if broken && !c.mayBreak() {
		t.Errorf("%s: flow broken=%v refused=%v", c, tr.broken, tr.refused)
	}
	return broken
}

// cellsOf returns the cells whose first fault is the given one.
func cellsOf(first fault) []cell {
	var out []cell
	for _, protocol := range []tables.Protocol{tables.TCP, tables.UDP} {
		for _, long := range []bool{false, true} {
			for s := range steps {
				base := cell{first: first, firstStep: s, protocol: protocol, long: long}
				out = append(out, base)
				for _, second := range faults {
					for s2 := s; s2 < steps; s2++ {
						c := base
						c.second, c.secondStep = second, s2
						out = append(out, c)
					}
				}
			}
		}
	}
	return out
}
