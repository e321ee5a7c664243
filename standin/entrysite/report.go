package entrysite

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/standin/platform"
)

// report collects the requests, broken flows and violations of a run.
type report struct {
	mu          sync.Mutex
	requests    int
	brokenFlows []string
	violations  []string
}

func (r *report) addRequest() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
}

func (r *report) addBrokenFlow(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brokenFlows = append(r.brokenFlows, fmt.Sprintf(format, args...))
}

func (r *report) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// Summary is the result of a run.
type Summary struct {
	Seconds float64 `json:"seconds"`
	// Requests counts the requests that were answered.
	Requests int `json:"requests"`
	// Executed counts the requests that servers executed. A retransmitted request is
	// executed once.
	Executed    int      `json:"executed"`
	BrokenFlows []string `json:"broken_flows"`
	// Violations describe broken promises other than broken flows.
	Violations []string `json:"violations"`
}

// summary returns the result of a run and adds violations that the counts of the
// servers show.
func (r *report) summary(servers []*platform.Backend, duration time.Duration) *Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &Summary{Seconds: duration.Seconds(), Requests: r.requests, BrokenFlows: r.brokenFlows, Violations: r.violations}
	for _, b := range servers {
		executed, forged, misdirected := b.Counts()
		s.Executed += executed
		if forged > 0 {
			s.Violations = append(s.Violations, fmt.Sprintf("server %s got %d malformed packets or ones with a wrong checksum", b.ID, forged))
		}
		if misdirected > 0 {
			s.Violations = append(s.Violations, fmt.Sprintf("server %s got %d packets for another server", b.ID, misdirected))
		}
	}
	if s.Executed < s.Requests {
		s.Violations = append(s.Violations, fmt.Sprintf("%d requests were answered and %d executed", s.Requests, s.Executed))
	}
	if s.Executed > s.Requests+len(s.BrokenFlows) {
		s.Violations = append(s.Violations, fmt.Sprintf("%d requests were executed, but only %d were answered", s.Executed, s.Requests))
	}
	return s
}

// OK reports whether there were no broken flows and no violations.
func (s *Summary) OK() bool { return len(s.BrokenFlows) == 0 && len(s.Violations) == 0 }

// String returns the summary in a readable form.
func (s *Summary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "requests answered  %d in %.1f s\nrequests executed  %d\nbroken flows       %d\nviolations         %d\n",
		s.Requests, s.Seconds, s.Executed, len(s.BrokenFlows), len(s.Violations))
	for _, line := range append(append([]string(nil), s.BrokenFlows...), s.Violations...) {
		fmt.Fprintf(&b, "  %s\n", line)
	}
	return b.String()
}

// WriteJSON writes the summary as JSON.
func (s *Summary) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(s); err != nil {
		return errors.Wrap(err, "write summary")
	}
	return nil
}
