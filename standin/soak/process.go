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
)

// Limits of a daemon process.
const (
	// grace is the time between SIGTERM and SIGKILL.
	grace = 3 * time.Second
	// linesPerSecond bounds the log: three events of 200 lines a second and the
	// others.
	linesPerSecond = 1000
	// startPause is what the platform takes to start a process that has ended.
	startPause = 300 * time.Millisecond
)

// machine runs the processes of one daemon, one after the other.
type machine struct {
	number int
	zone   int
	name   string
	// data, ready and metrics are the daemon's addresses; peer is the one that the
	// others know, and bound the one behind the relay.
	data, ready, metrics, peer, bound, store netip.AddrPort
	// seeds are peer addresses, separated by commas.
	seeds  string
	config Config
	dir    string
	judge  *judge

	mu      sync.Mutex
	process *exec.Cmd
	// expected is set when a signal of the soak ends the process.
	expected bool
	exited   chan struct{}
	starts   int
	// frozen machines stand still; thawed is when the last freeze ended.
	frozen bool
	thawed time.Time
}

// settings writes the settings file.
func (m *machine) settings(level string) error {
	text := fmt.Sprintf("[vm]\nname = %s\nregion = r\nzone = %s\n[addresses]\ndata = %s\nready = %s\npeer = %s\npeer_listen = %s\n"+
		"metrics = %s\nstore = %s\nseeds = %s\n[limits]\ngrace_s = %.0f\n[log]\nlevel = %s\n",
		m.name, zoneName(m.zone), m.data, m.ready, m.peer, m.bound, m.metrics, m.store, m.seeds, grace.Seconds(), level)
	next := m.path("new")
	if err := os.WriteFile(next, []byte(text), 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	if err := os.Rename(next, m.path("ini")); err != nil {
		return errors.Wrap(err, "replace settings")
	}
	return nil
}

func (m *machine) path(suffix string) string { return filepath.Join(m.dir, m.name+"."+suffix) }

// start runs the next process, unless one runs.
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
		m.judge.violated("process %s: %v", m.name, err)
		return
	}
	crash := &strings.Builder{}
	process.Stderr = crash
	if err := process.Start(); err != nil {
		m.judge.violated("process %s does not start: %v", m.name, err)
		return
	}
	m.starts++
	m.process, m.expected, m.exited = process, false, make(chan struct{})
	go m.attend(process, out, crash, m.exited)
}

// attend reads the log of a process and waits for its end.
func (m *machine) attend(process *exec.Cmd, out io.Reader, crash *strings.Builder, exited chan struct{}) {
	file, err := os.OpenFile(m.path("log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		m.judge.violated("log of %s: %v", m.name, err)
		file = nil
	}
	m.readLog(out, file)
	err = process.Wait()
	m.mu.Lock()
	expected := m.expected
	m.process = nil
	m.mu.Unlock()
	if file != nil {
		_, _ = fmt.Fprintf(file, "process ended: %v\n%s", err, crash) // the log is for people
		_ = file.Close()
	}
	if !expected {
		m.judge.violated("process %s ended by itself: %v: %s", m.name, err, crash)
	}
	if usage, ok := process.ProcessState.SysUsage().(*syscall.Rusage); ok && m.config.MaxMemory > 0 && usage.Maxrss<<10 > m.config.MaxMemory {
		m.judge.violated("process %s used %d MB, want at most %d MB", m.name, usage.Maxrss>>10, m.config.MaxMemory>>20)
	}
	close(exited)
}

// logLine are the fields of a line that the soak looks at.
type logLine struct {
	Event    int     `json:"event"`
	Revision *uint64 `json:"revision"`
	Version  *uint64 `json:"config_version"`
}

// directoryApplied is the number of the event of a new directory.
const directoryApplied = 320

// readLog checks the lines of a process: each is an event, their rate is bounded,
// and the directory does not go back.
func (m *machine) readLog(out io.Reader, file io.Writer) {
	var revision, version uint64
	began, lines := time.Now(), 0
	for scanner := bufio.NewScanner(out); scanner.Scan(); lines++ {
		if file != nil {
			_, _ = fmt.Fprintln(file, scanner.Text()) // the log is for people
		}
		var line logLine
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil || line.Event == 0 {
			m.judge.violated("log line of %s is no event: %q", m.name, scanner.Text())
			continue
		}
		if line.Event != directoryApplied || line.Revision == nil || line.Version == nil {
			continue
		}
		if *line.Revision < revision || *line.Version < version {
			m.judge.violated("directory of %s went back from revision %d, version %d to revision %d, version %d",
				m.name, revision, version, *line.Revision, *line.Version)
		}
		revision, version = *line.Revision, *line.Version
	}
	if seconds := time.Since(began).Seconds() + 1; float64(lines) > linesPerSecond*seconds {
		m.judge.violated("%s logged %d lines in %.0f s", m.name, lines, seconds)
	}
}

// signal sends a signal to the running process, if there is one.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		m.expected = true
	}
	_ = m.process.Process.Signal(s) // it may have ended meanwhile
}

// freeze stops the process, or lets it go on.
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
		m.thawed = time.Now()
	}
}

// terminate ends the process in the orderly way and waits for it. One that outlives
// the grace period is killed; that is a violation unless it was frozen meanwhile.
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
	case <-time.After(grace):
		m.mu.Lock()
		ran := !m.frozen && m.thawed.Before(began)
		m.mu.Unlock()
		if ran {
			m.judge.violated("process %s did not end within %s of SIGTERM", m.name, grace)
		}
		m.kill()
	}
}

// kill ends the process at once and waits for it.
func (m *machine) kill() {
	m.mu.Lock()
	running, exited := m.process != nil, m.exited
	m.mu.Unlock()
	if running {
		m.signal(syscall.SIGKILL)
		<-exited
	}
}

// status is what a daemon says of itself.
type status struct {
	Ready         bool   `json:"ready"`
	Revision      uint64 `json:"revision"`
	ConfigVersion uint64 `json:"config_version"`
}

// status asks the daemon on its metrics address.
func (m *machine) status(ctx context.Context) (status, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.metrics.String()+"/debug/vars", nil)
	if err != nil {
		return status{}, errors.Wrap(err, "make request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status{}, errors.Wrap(err, "ask for the status")
	}
	defer func() { _ = response.Body.Close() }() // it was read
	var vars struct {
		Status status `json:"status"`
	}
	if err := json.NewDecoder(response.Body).Decode(&vars); err != nil {
		return status{}, errors.Wrap(err, "read the status")
	}
	return vars.Status, nil
}

func zoneName(zone int) string { return "zone-" + strconv.Itoa(zone) }
