package forward

import (
	"fmt"
	"hash/fnv"
	"sync/atomic"
	"testing"

	"knapweedshore.example/internal/member"
	"knapweedshore.example/internal/tables"
)

// severity tells what a fault may do to a flow. No fault may make a promise
// about wrong services, crossed answers or repeated execution untrue.
type severity int

const (
	// planned changes break nothing.
	planned severity = iota
	// crash breaks nothing when it is the only crash. Several crashes may break
	// a UDP flow that is not on its default server; the server of a TCP flow is
	// found by probes.
	crash
	// doubleCrash is several crashes at once.
	doubleCrash
	// fatal faults may break the flow: its server is gone.
	fatal
)

type fault struct {
	name     string
	severity severity
	strike   func(*trial)
}

var faults = []fault{
	{"join", planned, func(tr *trial) { tr.join() }},
	{"owner leaves", planned, func(tr *trial) { tr.setState(tr.owner(), member.Leaving) }},
	{"other leaves", planned, func(tr *trial) { tr.setState(tr.bystander(), member.Leaving) }},
	{"server drains", planned, func(tr *trial) { tr.drain() }},
	{"server removed", planned, func(tr *trial) { tr.remove() }},
	{"server added", planned, func(tr *trial) {
		tr.change(tables.PutServer{Pool: tr.pool, Server: backend(9)}) // twice changes nothing
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

func (tr *trial) owner() *node { return tr.w.nodes[tr.ownerName()] }

func (tr *trial) ownerName() member.Name {
	for _, n := range tr.w.order {
		if n.record.State == member.Alive && n.engine.view.Load().Eligible {
			return n.engine.view.Load().Map.OwnerName(slotOf(tr.protocol, tr.caller))
		}
	}
	return ""
}

func (tr *trial) backup() *node {
	record, _ := tr.owner().tracker.last.Backup(tr.ownerName())
	return tr.w.nodes[record.Name]
}

func (tr *trial) alive() int {
	n := 0
	for _, o := range tr.w.order {
		if o.record.State == member.Alive {
			n++
		}
	}
	return n
}

// bystander is a live node that does not own the flow.
func (tr *trial) bystander() *node {
	for _, n := range tr.w.order {
		if n.record.State == member.Alive && n.name != tr.ownerName() {
			return n
		}
	}
	return nil
}

// setState changes a record, as long as two nodes stay.
func (tr *trial) setState(n *node, s member.State) {
	if n == nil || tr.alive() <= 2 {
		return
	}
	n.record.State = s
	tr.w.refresh()
}

// kill stops a node at once; the others notice later.
func (tr *trial) kill(n *node) {
	if n == nil || tr.alive() <= 2 || n.record.State == member.Dead {
		return
	}
	views := make(map[*node]*View)
	for _, o := range tr.w.order {
		views[o] = o.engine.view.Load()
	}
	n.record.State = member.Dead
	tr.detect = append(tr.detect, tr.w.refresh)
}

// freeze stops a node until the others have declared it dead. It wakes without
// standing and then returns with a new incarnation.
func (tr *trial) freeze(n *node) {
	if n == nil || tr.alive() <= 2 || n.record.State == member.Dead {
		return
	}
	n.record.State = member.Dead
	tr.detect = append(tr.detect, tr.w.refresh, func() {
		n.record.State = member.Alive
		n.record.Incarnation++
		tr.w.refreshNode(n, false)
		tr.transmitNothing(n)
		tr.w.refresh()
	})
}

// transmitNothing checks that a node without standing decides nothing.
func (tr *trial) transmitNothing(n *node) {
	before := n.flows()
	tr.w.send(n, tr.build(callerAt(9999), tr.service.AddrPort, openMessage))
	if n.flows() != before {
		tr.violate("a VM without standing opened a flow")
	}
}

func (tr *trial) join() *node {
	tr.joined++
	n := tr.w.add(member.Name(fmt.Sprint("new-", tr.joined)))
	tr.w.refreshNode(n, false)
	tr.w.refresh()
	return n
}

func (tr *trial) lateJoin() {
	late := tr.bystander()
	old, tracker := late.engine.view.Load(), *late.tracker
	tr.join()
	late.engine.SetView(old)
	*late.tracker = tracker
	tr.detect = append(tr.detect, tr.w.refresh)
}

func (tr *trial) change(ops ...tables.Operation) { tr.w.change(ops...) }

// anyServer returns the first server of the pool that the flow's service uses.
func (tr *trial) anyServer() tables.Server {
	p, _ := tr.w.tables.Pool(tr.currentPool())
	return p.Servers[0]
}

func (tr *trial) currentPool() string {
	for _, r := range tr.w.tables.Routes() {
		if r.Address == tr.service {
			return r.Pool
		}
	}
	return tr.pool
}

// connected returns the server that the flow is on, or any.
func (tr *trial) connected() (tables.Server, string, bool) {
	for _, p := range tr.w.tables.Pools() {
		for _, s := range p.Servers {
			h := tr.hosts[s.Endpoint]
			if _, known := h.conns[tr.caller]; known && len(p.Servers) > 1 {
				return s, p.Name, true
			}
		}
	}
	p, _ := tr.w.tables.Pool(tr.currentPool())
	return p.Servers[0], p.Name, len(p.Servers) > 1
}

func (tr *trial) eachConnected(f func(*host)) {
	for _, h := range tr.hosts {
		if _, known := h.conns[tr.caller]; known {
			f(h)
		}
	}
}

func (tr *trial) drain() {
	s, pool, ok := tr.connected()
	if !ok {
		return
	}
	s.State = tables.Draining
	tr.change(tables.PutServer{Pool: pool, Server: s})
	tr.hosts[s.Endpoint].draining = true
}

func (tr *trial) remove() {
	s, pool, ok := tr.connected()
	if p, _ := tr.w.tables.Pool(pool); ok && len(p.Servers) > 1 {
		tr.change(tables.DeleteServer{Pool: pool, Name: s.Name})
	}
}

func (tr *trial) movePool() {
	name := "spare"
	if tr.currentPool() == name {
		name = tr.pool
	}
	ops := []tables.Operation{tables.PutRoute{Name: tr.pool, Address: tr.service, Pool: name}}
	if _, ok := tr.w.tables.Pool("spare"); !ok {
		ops = append(ops, tables.PutPool{Name: "spare", Servers: []tables.Server{backend(7), backend(8)}})
	}
	tr.change(ops...)
}

// lateTables drains a server, and one VM learns of it only at the next notice.
func (tr *trial) lateTables() {
	late := tr.entry()
	old, oldTables := tr.w.tables, late.engine.tables.Load()
	s, pool, ok := tr.connected()
	if !ok || s.State == tables.Draining {
		return
	}
	s.State = tables.Draining
	tr.change(tables.PutServer{Pool: pool, Server: s})
	late.engine.tables.Store(oldTables)
	current := tr.w.tables
	tr.detect = append(tr.detect, func() {
		late.engine.ApplyTables(tr.w.tables, tr.w.now)
		late.engine.Reassess(old, current, tr.w.now)
	})
}

// cell is one entry of the matrix.
type cell struct {
	first, second         fault
	firstStep, secondStep int
	protocol              tables.Protocol
	long                  bool
}

func (c cell) String() string {
	s := fmt.Sprintf("%s before %s", c.first.name, stepNames[c.firstStep])
	if c.second.strike != nil {
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

func (c cell) faults() []fault {
	if c.second.strike == nil {
		return []fault{c.first}
	}
	return []fault{c.first, c.second}
}

func (c cell) run(t *testing.T) *trial {
	h := fnv.New64a()
	fmt.Fprint(h, c)
	tr := newTrial(t, c.protocol, h.Sum64())
	strikes := map[int][]fault{c.firstStep: {c.first}}
	if c.second.strike != nil {
		strikes[c.secondStep] = append(strikes[c.secondStep], c.second)
	}
	tr.run(strikes, c.long)
	return tr
}

// Guards against every combination of two faults at any step of a flow that
// breaks it without need, delivers to a wrong service, crosses answers, tells
// a caller a false refusal, or executes a request twice.
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

// check runs the cell, reports every promise that does not hold, and returns
// whether the flow was broken.
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
