package lab

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports that all machines share.
const (
	dataPort    = 8172
	readyPort   = 8167
	peerPort    = 7720
	metricsPort = 7735
	serverPort  = 8080
	storePort   = 8169
	lockPort    = 8166 // by which the project's stand-ins claim a network as well
)

// Bounds of the deployment.
type Bounds struct {
	DrainMS, ConfigMS, StableMS, GraceS, FlowTTLS, IdleMS, ReorderMS int
}

// World holds the stand-ins and the daemons of one run.
type World struct {
	Bounds  Bounds
	Store   *Store
	Servers []*Server
	Daemons []*Daemon
	Start   time.Time
	Dir     string
	// LinkRate is the rate at which a daemon's machine receives what the store sends, in bytes
	// a second; zero for no limit. It is set before the daemons are added.
	LinkRate float64

	// OnOpening is called when an opening packet has reached a server. It must not block.
	OnOpening func(s *Server, key FlowKey, p Packet)

	loss   atomic.Uint64 // in parts per million
	number byte
	lock   net.Listener
	record *os.File

	mu    sync.Mutex
	flows map[FlowKey]*ledger
	// Violations are the broken rules.
	Violations []string
	notes      []string
}

// ledger is what callers and servers have seen of a flow.
type ledger struct {
	server   *Server // at which the flow is open
	openedAt time.Time
	lastAt   time.Time
	others   int
	otherAt  time.Time
	over     bool
	judged   bool
	lines    []string
}

// NewWorld claims a loopback network and starts the store. Record is the path of the record.
func NewWorld(b Bounds, record string) (*World, error) {
	w := &World{Bounds: b, Start: time.Now(), flows: map[FlowKey]*ledger{}}
	var err error
	if w.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if w.Dir, err = os.MkdirTemp("", "review-second-"); err != nil {
		return nil, err
	}
	for i := range 150 {
		w.number = byte(60 + (os.Getpid()+i)%150)
		if w.lock, err = net.Listen("tcp4", w.Addr(255, 254, lockPort).String()); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	w.Store = NewStore()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-interrupted
		w.Close()
		os.Exit(2)
	}()
	return w, nil
}

// Addr returns an address of the network. Group 1 are daemons, 2 servers, 3 and up callers,
// 9 services.
func (w *World) Addr(group, number byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, w.number, group, number}), port)
}

// SetLoss sets the share of the datagrams that get lost.
func (w *World) SetLoss(share float64) { w.loss.Store(uint64(share * 1e6)) }

func (w *World) lose() bool {
	l := w.loss.Load()
	return l > 0 && rand.Uint64N(1e6) < l
}

// Logf writes a line to the record.
func (w *World) Logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logf(format, args...)
}

func (w *World) logf(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.Start).Seconds(), fmt.Sprintf(format, args...))
}

func (w *World) flow(key FlowKey) *ledger {
	l := w.flows[key]
	if l == nil {
		l = &ledger{}
		w.flows[key] = l
	}
	return l
}

func (w *World) trace(key FlowKey, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.flow(key)
	l.add(w, format, args...)
}

const maxLines = 80

func (l *ledger) add(w *World, format string, args ...any) {
	if len(l.lines) < maxLines {
		l.lines = append(l.lines, fmt.Sprintf("%8.3f  %s", time.Since(w.Start).Seconds(), fmt.Sprintf(format, args...)))
	}
}

func (w *World) opened(s *Server, key FlowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.flow(key)
	if l.server == nil {
		l.server, l.openedAt, l.lastAt = s, time.Now(), time.Now()
		l.add(w, "%s: the flow is open here", s.ID)
	}
}

func (w *World) ended(s *Server, key FlowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l := w.flow(key); l.server == s {
		l.over = true
	}
}

// arrived records that a packet has reached a server.
func (w *World) arrived(s *Server, key FlowKey, p Packet) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.flow(key)
	l.add(w, "%s gets %s", s.ID, p)
	if p.Flags&SYN != 0 && w.OnOpening != nil {
		w.OnOpening(s, key, p)
	}
	if l.server == nil || l.over || p.Flags&SYN != 0 {
		return
	}
	now := time.Now()
	if s == l.server {
		l.lastAt, l.others = now, 0
		return
	}
	if l.others == 0 {
		l.otherAt = now
	}
	l.others++
	if l.others >= 3 && now.Sub(l.otherAt) >= time.Duration(w.Bounds.ReorderMS)*time.Millisecond && !l.judged && w.counts(l, now) {
		l.judged = true
		w.violation(key, l, fmt.Sprintf("FLOW (b): %d packets of a flow that is open at %s reached other servers, none its own, for %s", l.others, l.server.ID, now.Sub(l.otherAt)))
	}
}

// counts reports whether the rule applies to a flow.
func (w *World) counts(l *ledger, now time.Time) bool {
	return l.server != nil && !l.over && !l.server.closed && now.Sub(l.openedAt) < time.Duration(w.Bounds.FlowTTLS)*time.Second &&
		now.Sub(l.lastAt) < time.Duration(w.Bounds.IdleMS)*time.Millisecond
}

// resetSeen judges a reset that a caller got. It is from a server if valid is set.
func (w *World) resetSeen(key FlowKey, valid bool, number uint32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l, now := w.flow(key), time.Now()
	from := "a daemon"
	if valid {
		from = fmt.Sprintf("i-%08x", number)
	}
	l.add(w, "the caller gets a reset of %s", from)
	if w.counts(l, now) && !l.judged && (!valid || uint32(l.server.Number) != number) {
		l.judged = true
		w.violation(key, l, fmt.Sprintf("FLOW (a): the caller gets a reset of %s; the flow's server is %s, which lives", from, l.server.ID))
	}
	l.over = true
}

func (w *World) violation(key FlowKey, l *ledger, text string) {
	text = fmt.Sprintf("flow %s to %s: %s", key.Caller, key.Service, text)
	w.Violations = append(w.Violations, text)
	w.logf("RULE BROKEN: %s", text)
	for _, line := range l.lines {
		fmt.Fprintf(w.record, "        %s\n", line)
	}
}

// Forget drops the record of a flow that has ended.
func (w *World) Forget(key FlowKey) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.flows, key)
}

// Daemon is an entry daemon, a process of its own.
type Daemon struct {
	Name, Zone string
	Data       netip.AddrPort
	world      *World
	index      byte
	settings   string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// expected is set when a signal that ends the process was sent.
	expected bool
	misses   int
	// Ends counts the ends that nothing caused.
	Ends int
}

// AddDaemon adds a daemon that is not running.
func (w *World) AddDaemon(index byte, zone string, seeds []netip.Addr, extra string) (*Daemon, error) {
	d := &Daemon{
		Name: fmt.Sprintf("front-%s-%d", zone, index), Zone: zone, Data: w.Addr(1, index, dataPort), world: w, index: index, misses: 2,
		settings: filepath.Join(w.Dir, fmt.Sprintf("%d.ini", index)),
	}
	if err := w.Store.Serve(w.Addr(6, index, storePort), w.LinkRate); err != nil {
		return nil, err
	}
	var list []string
	for _, s := range seeds {
		list = append(list, fmt.Sprintf("%s:8166", s))
	}
	text := fmt.Sprintf("[vm]\nname = %s\nregion = r\nzone = %s\n[addresses]\ndata = %s\nready = %s\npeer = %s\nmetrics = %s\nstore = %s\nseeds = %s\n"+
		"[limits]\nreset_gone_flows = yes\navoid_failing_servers = yes\ngrace_s = %d\nrecovery_ms = %d\ndrain_ms = %d\nconfig_ms = %d\nflow_life_s = %d\n%s",
		d.Name, zone, d.Data, w.Addr(1, index, readyPort), w.Addr(1, index, peerPort), w.Addr(1, index, metricsPort), w.Addr(6, index, storePort), strings.Join(list, ","),
		w.Bounds.GraceS, w.Bounds.StableMS, w.Bounds.DrainMS, w.Bounds.ConfigMS, w.Bounds.FlowTTLS, extra)
	w.Daemons = append(w.Daemons, d)
	return d, os.WriteFile(d.settings, []byte(text), 0o600)
}

// Run starts the daemon's process, as deploy/system.toml does.
func (d *Daemon) Run() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	log, err := os.OpenFile(d.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("target/knapweedshored", "entry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "KNAPWEEDSHORE_NODE_FILE=" + d.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.expected, d.exited = cmd, false, make(chan struct{})
	go func(exited chan struct{}) {
		err := cmd.Wait()
		d.mu.Lock()
		defer d.mu.Unlock()
		if !d.expected {
			d.Ends++
			d.world.Logf("%s ended by itself: %v", d.Name, err)
		}
		close(exited)
	}(d.exited)
	return nil
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		d.expected = true
	}
	_ = d.cmd.Process.Signal(s)
}

// Exited is closed when the process has ended.
func (d *Daemon) Exited() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exited
}

// Stop sends SIGTERM, and SIGKILL after the grace period. It returns how long the process took.
func (d *Daemon) Stop() time.Duration {
	began := time.Now()
	d.Signal(syscall.SIGTERM)
	select {
	case <-d.Exited():
	case <-time.After(time.Duration(d.world.Bounds.GraceS) * time.Second):
		d.world.Logf("%s did not end within the grace period", d.Name)
		d.Signal(syscall.SIGKILL)
		<-d.Exited()
	}
	return time.Since(began)
}

// LogFile returns the path of the process's log.
func (d *Daemon) LogFile() string { return d.settings + ".log" }

const (
	pollInterval = 500 * time.Millisecond
	maxMisses    = 2
)

// PollReadiness asks all daemons for their readiness twice a second.
func (w *World) PollReadiness() {
	for _, d := range w.Daemons {
		go func() {
			client := http.Client{Timeout: pollInterval - 50*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
			url := "http://" + w.Addr(1, d.index, readyPort).String() + "/ready"
			for range time.Tick(pollInterval) {
				r, err := client.Get(url)
				ok := err == nil && r.StatusCode == http.StatusOK
				if err == nil {
					_ = r.Body.Close()
				}
				d.mu.Lock()
				before := d.misses
				if ok {
					d.misses = 0
				} else {
					d.misses++
				}
				after := d.misses
				d.mu.Unlock()
				if (before < maxMisses) != (after < maxMisses) {
					w.Logf("router: %s in rotation: %v", d.Name, after < maxMisses)
				}
			}
		}()
	}
}

func (d *Daemon) inRotation() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.misses < maxMisses
}

// WaitUntilReady waits until all daemons are in rotation. A daemon that ends by itself meanwhile is
// an error.
func (w *World) WaitUntilReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); w.InRotation() < len(w.Daemons); time.Sleep(50 * time.Millisecond) {
		for _, d := range w.Daemons {
			d.mu.Lock()
			ends := d.Ends
			d.mu.Unlock()
			if ends > 0 {
				return fmt.Errorf("%s does not run", d.Name)
			}
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d daemons are ready", w.InRotation(), len(w.Daemons))
		}
	}
	return nil
}

// InRotation returns the number of daemons in rotation.
func (w *World) InRotation() int {
	n := 0
	for _, d := range w.Daemons {
		if d.inRotation() {
			n++
		}
	}
	return n
}

// Pick returns the daemon that the routers of a zone send a flow's packets to: by a steady
// hash over those of the zone that are in rotation, over all of the zone if that are fewer than
// half, and over those of the other zones if there are none.
func (w *World) Pick(zone string, key FlowKey) *Daemon {
	var own, ready, others []*Daemon
	for _, d := range w.Daemons {
		up := d.inRotation()
		if d.Zone == zone {
			own = append(own, d)
			if up {
				ready = append(ready, d)
			}
		} else if up {
			others = append(others, d)
		}
	}
	switch {
	case len(ready) == 0 && len(others) > 0:
		ready = others
	case 2*len(ready) < len(own):
		ready = own
	}
	var best *Daemon
	greatest := uint64(0)
	for _, d := range ready {
		if h := hash(key, d.Data); h >= greatest {
			best, greatest = d, h
		}
	}
	return best
}

func hash(key FlowKey, d netip.AddrPort) uint64 {
	h := uint64(14695981039346656037)
	add := func(b []byte) {
		for _, x := range b {
			h = (h ^ uint64(x)) * 1099511628211
		}
	}
	for _, a := range []netip.AddrPort{key.Caller, key.Service, d} {
		ip := a.Addr().As4()
		add(ip[:])
		add([]byte{byte(a.Port() >> 8), byte(a.Port())})
	}
	h ^= h >> 31
	h *= 0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>32
}

// Close ends all processes and stand-ins and removes the temporary folder.
func (w *World) Close() {
	for _, d := range w.Daemons {
		d.mu.Lock()
		running := d.cmd != nil
		d.mu.Unlock()
		if running {
			select {
			case <-d.Exited():
			default:
				d.Signal(syscall.SIGCONT)
				d.Signal(syscall.SIGKILL)
				<-d.Exited()
			}
		}
	}
	for _, s := range w.Servers {
		s.Close()
	}
	w.Store.Close()
	_ = w.lock.Close()
	_ = w.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.Dir)
	}
}
