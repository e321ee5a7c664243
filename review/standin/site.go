package standin

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports that all daemons of a site share. Each daemon has an address of its own.
const (
	dataPort    = 8172
	readyPort   = 8167
	storePort   = 8169
	controlPort = 8166
	peerPort    = 7720
	metricsPort = 7735
	serverPort  = 8080
)

// Bounds of a small deployment.
const (
	GracePeriod = 6 * time.Second
	// StableTime is the bound stable_ms.
	StableTime = 4 * time.Second
	// ConfigTime is the bound config_apply_ms, DrainTime drain_ms.
	ConfigTime = 3 * time.Second
	DrainTime  = 3 * time.Second
	// settleTime is how long traffic waits after the start of the machines.
	settleTime = 10 * time.Second
)

// Site is a small deployment on a loopback network of its own.
type Site struct {
	Record *Record
	Store  *Store
	Router *Router
	// Trouble reports whether the disruption takes place.
	Trouble bool

	network byte
	lock    net.Listener
	dir     string
	root    string
	daemons []*Daemon
	closers []func()
}

// NewSite claims a loopback network and starts a store and a router. The record goes to the
// file in REVIEW_RECORD; the repository is in REVIEW_ROOT.
func NewSite() (*Site, error) {
	record, err := NewRecord(os.Getenv("REVIEW_RECORD"))
	if err != nil {
		return nil, err
	}
	s := &Site{Record: record, root: os.Getenv("REVIEW_ROOT"), Trouble: os.Getenv("TROUBLE") != "0"}
	for i := range 200 {
		s.network = byte(20 + (os.Getpid()+i)%200)
		if s.lock, err = net.Listen("tcp4", s.Addr(255, 254, controlPort).String()); err == nil {
			break
		}
	}
	if s.lock == nil {
		return nil, errors.New("no loopback network is free")
	}
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if s.Store, err = NewStore(record, s.Addr(200, 1, storePort)); err != nil {
		return nil, err
	}
	s.Router = NewRouter(record)
	record.Add("disruption: %v", s.Trouble)
	return s, nil
}

// Addr returns an address of the site's network.
func (s *Site) Addr(group, number byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.network, group, number}), port)
}

// Close ends all processes and stand-ins of the site.
func (s *Site) Close() {
	for _, d := range s.daemons {
		d.Kill()
		if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
			_ = os.WriteFile(filepath.Join(dir, d.Name+".log"), []byte(d.Log()), 0o600)
		}
	}
	for _, c := range s.closers {
		c()
	}
	s.Router.Close()
	s.Store.Close()
	_ = s.lock.Close()
	s.Record.Close()
	_ = os.RemoveAll(s.dir)
}

// AddServer starts a server and registers it.
func (s *Site) AddServer(group, number byte, id uint64, service, zone string) (*Server, error) {
	server, err := NewServer(s.Record, s.Addr(group, number, serverPort), id, service, zone, dataPort)
	if err != nil {
		return nil, err
	}
	s.closers = append(s.closers, server.Close)
	s.Store.Put(server.Key(), server.Entry("ready"))
	return server, nil
}

// AddConsumer starts a consumer.
func (s *Site) AddConsumer(number byte) (*Consumer, error) {
	c, err := NewConsumer(s.Record, s.Addr(64, number, dataPort), s.Router)
	if err == nil {
		s.closers = append(s.closers, c.Close)
	}
	return c, err
}

// AddDirectConsumer starts a consumer whose flows all go to one machine.
func (s *Site) AddDirectConsumer(number byte, d *Daemon) (*Consumer, error) {
	c, err := NewConsumer(s.Record, s.Addr(65, number, dataPort), Direct(s.Addr(1, d.number, dataPort)))
	if err == nil {
		s.closers = append(s.closers, c.Close)
	}
	return c, err
}

// Service returns the address of route number n. Nothing is sent to it: it stands in packets
// and in the configuration only.
func (s *Site) Service(n byte) netip.AddrPort {
	return s.Addr(250, n, 443)
}

// Route returns a route to a service as the operator writes it.
func (s *Site) Route(n byte, service, kind string) map[string]any {
	return map[string]any{
		"name": fmt.Sprintf("r-%d", n), "host": s.Service(n).Addr().String(), "prefix": "/443/", "kind": kind, "timeout_ms": 5000,
		"target_latency_ms": 500, "priority": 1, "service": service, "max_attempts": 2,
	}
}

// Configure writes a configuration, which the store acknowledges at once.
func (s *Site) Configure(version int, services []string, routes ...map[string]any) {
	list := []map[string]any{}
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/health", "max_connections": 2000, "protocol": "h1", "tls": false})
	}
	size := s.Store.Put("op/config", map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	s.Record.Add("operator: configuration %d acknowledged, %d routes, %d bytes", version, len(routes), size)
}

// Daemon runs the processes of one machine.
type Daemon struct {
	Name   string
	site   *Site
	number byte
	zone   string
	file   string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// AddDaemon adds a machine and starts its process. Store is the address of the store or
// of a proxy before it.
func (s *Site) AddDaemon(number byte, zone string, seeds []netip.AddrPort, store netip.AddrPort) (*Daemon, error) {
	d := &Daemon{Name: fmt.Sprintf("front-%s-%d", zone, number), site: s, number: number, zone: zone}
	d.file = filepath.Join(s.dir, d.Name+".ini")
	template, err := os.ReadFile(filepath.Join(s.root, "deploy", "entry.ini.tmpl"))
	if err != nil {
		return nil, err
	}
	text := renderTemplate(string(template), d.fields(seeds, store))
	if err := os.WriteFile(d.file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	s.daemons = append(s.daemons, d)
	s.Router.Add(s.Addr(1, number, dataPort), s.Addr(1, number, readyPort))
	return d, d.Start()
}

// Seeds returns the control addresses of machines.
func (s *Site) Seeds(numbers ...byte) []netip.AddrPort {
	var out []netip.AddrPort
	for _, n := range numbers {
		out = append(out, s.Addr(1, n, controlPort))
	}
	return out
}

// AddProxy starts a proxy before the store.
func (s *Site) AddProxy(number byte) (*Proxy, netip.AddrPort, error) {
	addr := s.Addr(201, number, storePort)
	p, err := NewProxy(addr, s.StoreAddr())
	if err == nil {
		s.closers = append(s.closers, p.Close)
	}
	return p, addr, err
}

// StoreAddr is the address of the store.
func (s *Site) StoreAddr() netip.AddrPort { return s.Addr(200, 1, storePort) }

// fields returns the platform's fields that the deploy file's template uses.
func (d *Daemon) fields(seeds []netip.AddrPort, store netip.AddrPort) map[string]string {
	list := make([]string, len(seeds))
	for i, a := range seeds {
		list[i] = a.String()
	}
	s := d.site
	return map[string]string{
		"node_name": d.Name, "region": "r", "zone": d.zone, "ip": s.Addr(1, d.number, 1).Addr().String(),
		"listen_addrs.datagram_addr": s.Addr(1, d.number, dataPort).String(), "listen_addrs.ready": s.Addr(1, d.number, readyPort).String(),
		"internal_ports.0": fmt.Sprint(peerPort), "internal_ports.1": fmt.Sprint(metricsPort), "platform.address": store.String(),
		"seeds": strings.Join(list, ","), "bounds.grace_s": "6", "bounds.stable_ms": "4000", "bounds.drain_ms": "3000",
		"bounds.config_apply_ms": "3000", "bounds.flow_ttl_s": "60",
	}
}

var (
	templateSection = regexp.MustCompile(`(?s)\{\{#([^}]*)\}\}(.*?)\{\{/([^}]*)\}\}`)
	templateField   = regexp.MustCompile(`\{\{([^}]*)\}\}`)
)

// renderTemplate fills in the sections and values that the deploy file's template uses.
func renderTemplate(text string, fields map[string]string) string {
	text = templateSection.ReplaceAllStringFunc(text, func(section string) string {
		m := templateSection.FindStringSubmatch(section)
		if fields[m[1]] == "" {
			return ""
		}
		return m[2]
	})
	return templateField.ReplaceAllStringFunc(text, func(f string) string { return fields[strings.Trim(f, "{}")] })
}

// Start starts the process of the deploy file's role.
func (d *Daemon) Start() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	process := exec.Command(filepath.Join(d.site.root, "target", "knapweedshored"), "entry")
	process.Dir = d.site.root
	process.Env = append(os.Environ(), "KNAPWEEDSHORE_NODE_FILE="+d.file)
	log, err := os.OpenFile(d.file+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process.Stdout, process.Stderr = log, log
	if err := process.Start(); err != nil {
		return err
	}
	d.site.Record.Add("machine %s: process started", d.Name)
	d.process, d.exited = process, make(chan struct{})
	go func(exited chan struct{}) {
		err := process.Wait()
		d.site.Record.Add("machine %s: process ended: %v", d.Name, err)
		_ = log.Close()
		close(exited)
	}(d.exited)
	return nil
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.site.Record.Add("machine %s: signal %v", d.Name, s)
	_ = d.process.Process.Signal(s)
}

// Wait waits for the end of the process. It reports false after a timeout.
func (d *Daemon) Wait(timeout time.Duration) bool {
	select {
	case <-d.exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Kill ends the process if it runs.
func (d *Daemon) Kill() {
	d.mu.Lock()
	process, exited := d.process, d.exited
	d.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Signal(syscall.SIGCONT)
	_ = process.Process.Kill()
	<-exited
}

// Log returns what the machine's processes have logged.
func (d *Daemon) Log() string {
	f, err := os.Open(d.file + ".log")
	if err != nil {
		return ""
	}
	defer func() { _ = f.Close() }()
	data, _ := io.ReadAll(f)
	return string(data)
}

// AwaitReady waits until n daemons are in rotation, and then for the time that passes
// between the start of the machines and the start of traffic.
func (s *Site) AwaitReady(n int) error {
	end := time.Now().Add(settleTime)
	for s.Router.Ready() < n {
		if time.Now().After(end) {
			return fmt.Errorf("%d daemons are ready, want %d", s.Router.Ready(), n)
		}
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(time.Until(end))
	return nil
}

// Exit codes of a case.
const (
	ExitHeld, ExitBroken, ExitNotRun = 0, 1, 2
)

// Main runs a case. It returns how often the rule was broken.
func Main(run func(s *Site) (broken int, err error)) {
	s, err := NewSite()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
	broken, err := run(s)
	code := ExitHeld
	switch {
	case err != nil:
		s.Record.Add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = ExitNotRun
	case broken > 0:
		code = ExitBroken
	}
	s.Record.Add("result: broken %d times", broken)
	s.Close()
	fmt.Printf("broken %d times\n", broken)
	os.Exit(code)
}
