package site

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"knapweedshore.example/standin/caller"
	"knapweedshore.example/standin/fabric"
)

// maxShownPerKind limits the violations of each kind in the text form. The JSON
// form has more.
const maxShownPerKind = 5

// WriteJSON writes the summary as indented JSON.
func (s *Summary) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(s); err != nil {
		return errors.Wrap(err, "write summary")
	}
	return nil
}

// String returns the summary as text.
func (s *Summary) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "site %s, seed %d\n", s.Site, s.Seed)
	s.Flows.write(&b, "all services")
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		f := s.Services[name]
		f.write(&b, name)
	}
	s.writePools(&b)
	s.writeBalancers(&b)
	p := s.Packets
	fmt.Fprintf(&b, "packets: %d to balancers, %d from balancers, %d second hop (%.1f%%)\n",
		p.ToBalancers, p.FromBalancers, p.SecondHop, 100*s.SecondHopShare)
	for _, reason := range slices.Sorted(maps.Keys(s.Refusals)) {
		fmt.Fprintf(&b, "packets refused by balancers: %s %d\n", reason, s.Refusals[reason])
	}
	s.writeViolations(&b)
	s.writeLimited(&b)
	return b.String()
}

func (f *FlowSummary) write(b *strings.Builder, name string) {
	fmt.Fprintf(b, "flows, %s: %d opened, %d completed, %d refused%s, %d broken%s", name, f.Opened, f.Completed,
		sumCounts(f.Refused), formatReasons(f.Refused), sumCounts(f.Broken), formatReasons(f.Broken))
	fmt.Fprintf(b, "; open at the crash %d, broken by it %d", f.OpenAtCrash, f.BrokenByCrash)
	if f.CheckP99 > 0 {
		fmt.Fprintf(b, "; checks p50 %s, p99 %s", f.CheckP50.Round(time.Millisecond), f.CheckP99.Round(time.Millisecond))
	}
	if f.Skipped > 0 {
		fmt.Fprintf(b, "; %d not opened", f.Skipped)
	}
	b.WriteByte('\n')
}

func sumCounts(m map[caller.Reason]int) int {
	n := 0
	for _, c := range m {
		n += c
	}
	return n
}

func formatReasons(m map[caller.Reason]int) string {
	if len(m) == 0 {
		return ""
	}
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, m[reason]))
	}
	return " (" + strings.Join(parts, ", ") + ")"
}

func (s *Summary) writePools(b *strings.Builder) {
	for _, p := range s.Pools {
		fmt.Fprintf(b, "pool %s: imbalance %.2f; utilisation", p.Pool, p.Imbalance)
		for _, server := range p.Servers {
			mark := ""
			if server.Drained {
				mark = " drained"
			}
			fmt.Fprintf(b, " %s (speed %.1f%s) %.2f", server.Server, server.Speed, mark, server.Utilisation)
		}
		b.WriteByte('\n')
	}
}

func (s *Summary) writeBalancers(b *strings.Builder) {
	for _, m := range s.Balancers {
		fmt.Fprintf(b, "balancer %s (%s, capacity %d, %s): %d packets in, %d out, %d forwarded, control %.0f B/s\n",
			m.Name, m.Zone, m.Capacity, m.State, m.Packets.Sent, m.Packets.Received, m.Forwarded, m.ControlBytesPerSec)
	}
	if s.LeaveError != "" {
		fmt.Fprintf(b, "leave failed: %s\n", s.LeaveError)
	}
}

func (s *Summary) writeViolations(b *strings.Builder) {
	fmt.Fprintf(b, "violations of promises: %d, %d of them within %s after the crash\n",
		s.ViolationCount, s.AfterCrash, crashImpactPeriod)
	kinds := make(map[fabric.ViolationKind][]fabric.Violation)
	for _, v := range s.Violations {
		kinds[v.Kind] = append(kinds[v.Kind], v)
	}
	for _, kind := range slices.Sorted(maps.Keys(kinds)) {
		listed := kinds[kind]
		fmt.Fprintf(b, "  %s %s: %d listed\n", listed[0].Promise, kind, len(listed))
		for _, v := range listed[:min(len(listed), maxShownPerKind)] {
			fmt.Fprintf(b, "    flow %s: %s\n", v.Flow, v.Detail)
		}
	}
}

func (s *Summary) writeLimited(b *strings.Builder) {
	if len(s.Limited) == 0 {
		return
	}
	fmt.Fprintf(b, "UDP flows opened within %s before the crash whose payload reached a second server: %d\n", exceptionDelay, len(s.Limited))
	for _, v := range s.Limited[:min(len(s.Limited), maxShownPerKind)] {
		fmt.Fprintf(b, "    flow %s: %s\n", v.Flow, v.Detail)
	}
}
