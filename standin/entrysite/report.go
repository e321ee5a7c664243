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

// report collects what callers see.
type report struct {
	mu         sync.Mutex
	requests   int
	brokenList []string
	violations []string
}

func (r *report) served() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests++
}

func (r *report) broken(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.brokenList = append(r.brokenList, fmt.Sprintf(format, args...))
}

func (r *report) violated(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// Summary is what was seen in a run.
type Summary struct {
	Seconds  float64 `json:"seconds"`
	Requests int     `json:"requests"`
	// Executed are the requests that servers ran; a repeated packet runs nothing.
	Executed    int      `json:"executed"`
	BrokenFlows []string `json:"broken_flows"`
	// Violations are broken promises other than broken flows.
	Violations []string `json:"violations"`
}

func (r *report) summary(servers []*platform.Backend, took time.Duration) *Summary {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &Summary{Seconds: took.Seconds(), Requests: r.requests, BrokenFlows: r.brokenList, Violations: r.violations}
	for _, b := range servers {
		executed, forged, strays := b.Counts()
		s.Executed += executed
		if forged > 0 {
			s.Violations = append(s.Violations, fmt.Sprintf("server %s got %d packets that their sender did not write so", b.ID, forged))
		}
		if strays > 0 {
			s.Violations = append(s.Violations, fmt.Sprintf("server %s got %d packets for another server", b.ID, strays))
		}
	}
	if s.Executed < s.Requests {
		s.Violations = append(s.Violations, fmt.Sprintf("%d requests were answered and %d executed", s.Requests, s.Executed))
	}
	if s.Executed > s.Requests+len(s.BrokenFlows) {
		s.Violations = append(s.Violations, fmt.Sprintf("%d requests were executed for %d answers", s.Executed, s.Requests))
	}
	return s
}

// OK reports whether every promise was kept.
func (s *Summary) OK() bool { return len(s.BrokenFlows) == 0 && len(s.Violations) == 0 }

// String returns the summary for people.
func (s *Summary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "requests answered  %d in %.1f s\nrequests executed  %d\nbroken flows       %d\nviolations         %d\n",
		s.Requests, s.Seconds, s.Executed, len(s.BrokenFlows), len(s.Violations))
	for _, line := range append(append([]string(nil), s.BrokenFlows...), s.Violations...) {
		fmt.Fprintf(&b, "  %s\n", line)
	}
	return b.String()
}

// WriteJSON writes the summary for programs.
func (s *Summary) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(s); err != nil {
		return errors.Wrap(err, "write summary")
	}
	return nil
}
