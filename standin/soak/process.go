package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/internal/directory"
)

// Limits of a daemon process.
const (
	// gracePeriod is the time between SIGTERM and SIGKILL.
	gracePeriod = 3 * time.Second
	// maxLogRate is in lines per second. Three events may be logged 200 times per second
	// each; the rest is for all other events.
	maxLogRate = 1000
	// restartDelay is the time that the platform needs to restart a process that ended.
	restartDelay = 300 * time.Millisecond
)

// machine runs the processes of one daemon, one at a time.
type machine struct {
	number int
	zone   int
	name   string
	// data, ready and metrics are addresses of the daemon. peer is the address that
	// other daemons use for it, and peerListen the one on which it listens behind the
	// relay. store is the address of the relay to the store.
	data, ready, metrics, peer, peerListen, store netip.AddrPort
	// seeds lists peer addresses, separated by commas.
	seeds   string
	config  Config
	dir     string
	checker *checker

	// settingsMu serializes steps that rewrite the settings file.
	settingsMu sync.Mutex

	mu      sync.Mutex // guards the fields below
	process *exec.Cmd
	// exitExpected is set when the soak sends a signal that ends the process.
	exitExpected bool
	exited       chan struct{}
	starts       int
	// frozen is set while the process is stopped by SIGSTOP; thawedAt is the time at
	// which the last freeze ended.
	frozen   bool
	thawedAt time.Time
}

// writeSettings replaces the settings file. level is the log level.
func (m *machine) writeSettings(level string) error {
	text := fmt.Sprintf("[vm]\nname = %s\nregion = r\nzone = %s\n[addresses]\ndata = %s\nready = %s\npeer = %s\npeer_listen = %s\n"+
		"metrics = %s\nstore = %s\nseeds = %s\n[limits]\ngrace_s = %.0f\n[log]\nlevel = %s\n",
		m.name, zoneName(m.zone), m.data, m.ready, m.peer, m.peerListen, m.metrics, m.store, m.seeds, gracePeriod.Seconds(), level)
	m.settingsMu.Lock()
	defer m.settingsMu.Unlock()
	temp := m.path("new")
	if err := os.WriteFile(temp, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	if err := os.Rename(temp, m.path("ini")); err != nil {
		return errors.Wrap(err, "replace settings")
	}
	return nil
}

// path returns the path of the machine's file with a suffix.
func (m *machine) path(suffix string) string { return filepath.Join(m.dir, m.name+"."+suffix) }

// start starts a process unless one is running.
func (m *machine) start() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		return
	}
	path, args, env := m.config.Command(m.path("ini"))
	process := exec.Command(path, args...)
	process.Env = append(os.Environ(), env...)
	out, err := process.StdoutPipe()
	if err != nil {
		m.checker.addViolation("pipe for process %s: %v", m.name, err)
		return
	}
	stderr := &strings.Builder{}
	process.Stderr = stderr
	if err := process.Start(); err != nil {
		m.checker.addViolation("process %s could not be started: %v", m.name, err)
		return
	}
	m.starts++
	m.process, m.exitExpected, m.exited = process, false, make(chan struct{})
	go m.supervise(process, out, stderr, m.exited)
	go m.watchMemory(process.Process.Pid, m.exited)
}

// supervise reads and checks the log of a process and waits for its end.
func (m *machine) supervise(process *exec.Cmd, out io.Reader, stderr *strings.Builder, exited chan struct{}) {
	file, err := os.OpenFile(m.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		m.checker.addViolation("log of %s: %v", m.name, err)
		file = nil
	}
	m.readLog(out, file)
	err = process.Wait()
	m.mu.Lock()
	expected := m.exitExpected
	m.process = nil
	m.mu.Unlock()
	if file != nil {
		_, _ = fmt.Fprintf(file, "process ended: %v\n%s", err, stderr) // a failed write changes no result
		_ = file.Close()
	}
	if !expected {
		m.checker.addViolation("process %s ended unexpectedly: %v: %s", m.name, err, stderr)
	}
	close(exited)
}

// logLine holds the fields of a log line that the soak checks.
type logLine struct {
	Event    int     `json:"event"`
	Era      uint64  `json:"era"`
	Revision *uint64 `json:"revision"`
	Version  *uint64 `json:"config_version"`
}

// directoryAppliedEvent is the number of the event that reports a new directory.
const directoryAppliedEvent = 320

// readLog copies the log of a process to a file and checks it: each line must be an
// event, the rate must not exceed maxLogRate, and the directory must not go back to
// an earlier position or an older configuration.
func (m *machine) readLog(out io.Reader, file io.Writer) {
	var position directory.Position
	version := uint64(0)
	began, lines := time.Now(), 0
	for scanner := bufio.NewScanner(out); scanner.Scan(); lines++ {
		if file != nil {
			_, _ = fmt.Fprintln(file, scanner.Text()) // a failed write changes no result
		}
		var line logLine
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil || line.Event == 0 {
			m.checker.addViolation("log line of %s is not an event: %q", m.name, scanner.Text())
			continue
		}
		if line.Event != directoryAppliedEvent || line.Revision == nil || line.Version == nil {
			continue
		}
		next := directory.Position{Era: line.Era, Revision: *line.Revision}
		if position.IsAfter(next) || *line.Version < version {
			m.checker.addViolation("directory of %s went back from position %s, configuration version %d to position %s, configuration version %d",
				m.name, position, version, next, *line.Version)
		}
		position, version = next, *line.Version
	}
	if seconds := time.Since(began).Seconds() + 1; float64(lines) > maxLogRate*seconds {
		m.checker.addViolation("%s logged %d lines in %.0f s", m.name, lines, seconds)
	}
}

// signal sends a signal to the machine's process if one is running.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		m.exitExpected = true
	}
	_ = m.process.Process.Signal(s) // fails if the process has just ended
}

// memoryInterval is the time between two readings of a process's peak memory. What a
// process takes in the last one of its life is not seen.
const memoryInterval = 50 * time.Millisecond

// watchMemory checks the peak memory of a process until it has exited. The usage that the
// kernel reports then is no measure: it includes the memory of the soak, from which
// the process was forked.
func (m *machine) watchMemory(pid int, exited <-chan struct{}) {
	if m.config.MaxMemory == 0 {
		return
	}
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-exited:
			return
		case <-ticker.C:
		}
		peak, err := peakMemory(pid)
		switch {
		case errors.Is(err, errNoMemory):
			return
		case err != nil:
			m.checker.addViolation("memory of %s: %v", m.name, err)
			return
		case peak > m.config.MaxMemory:
			m.checker.addViolation("process %s used %d MB, want at most %d MB", m.name, peak>>20, m.config.MaxMemory>>20)
			return
		}
	}
}

// errNoMemory means that a process has ended and has no memory any more.
var errNoMemory = errors.New("process has ended")

// peakMemory returns the peak of the memory that a process has had resident, in bytes.
func peakMemory(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, syscall.ESRCH) {
		return 0, errNoMemory
	}
	if err != nil {
		return 0, errors.Wrap(err, "read process status")
	}
	for line := range strings.Lines(string(status)) {
		var kilobytes int64
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes); err == nil {
			return kilobytes << 10, nil
		}
	}
	return 0, errNoMemory // only a process that has ended has no such line
}

// freeze stops the process with SIGSTOP, or continues it.
func (m *machine) freeze(on bool) {
	if on {
		m.signal(syscall.SIGSTOP)
	} else {
		m.signal(syscall.SIGCONT)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.frozen = on
	if !on {
		m.thawedAt = time.Now()
	}
}

// terminate sends SIGTERM to the process and waits for its end. After gracePeriod it
// kills the process, which is a violation unless the process was frozen meanwhile.
func (m *machine) terminate(ctx context.Context) {
	began := time.Now()
	m.mu.Lock()
	running, exited := m.process != nil, m.exited
	m.mu.Unlock()
	if !running {
		return
	}
	m.signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-ctx.Done():
	case <-time.After(gracePeriod):
		m.mu.Lock()
		neverFrozen := !m.frozen && m.thawedAt.Before(began)
		m.mu.Unlock()
		if neverFrozen {
			m.checker.addViolation("process %s did not end within %s of SIGTERM", m.name, gracePeriod)
		}
		m.kill()
	}
}

// kill sends SIGKILL to the process and waits for its end.
func (m *machine) kill() {
	m.mu.Lock()
	running, exited := m.process != nil, m.exited
	m.mu.Unlock()
	if running {
		m.signal(syscall.SIGKILL)
		<-exited
	}
}

// daemonStatus is the status that a daemon publishes with its metrics.
type daemonStatus struct {
	Ready         bool   `json:"ready"`
	Revision      uint64 `json:"revision"`
	ConfigVersion uint64 `json:"config_version"`
}

// queryStatus reads the daemon's status from its metrics address.
func (m *machine) queryStatus(ctx context.Context) (daemonStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.metrics.String()+"/debug/vars", nil)
	if err != nil {
		return daemonStatus{}, errors.Wrap(err, "create status request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return daemonStatus{}, errors.Wrap(err, "query status")
	}
	defer func() { _ = response.Body.Close() }() // the body has been decoded
	var vars struct {
		Status daemonStatus `json:"status"`
	}
	if err := json.NewDecoder(response.Body).Decode(&vars); err != nil {
		return daemonStatus{}, errors.Wrap(err, "decode status")
	}
	return vars.Status, nil
}

func zoneName(zone int) string { return "zone-" + strconv.Itoa(zone) }
