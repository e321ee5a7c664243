package exchange

import (
	"math"
	"time"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/evidence"
	"knapweedshore.example/peerapi"
)

// Limits on the evidence in a report, whatever the number of servers: together they
// take less than half of maxReportSize.
const (
	maxReportedSilences = evidence.MaxReportedSilences
	maxReportedHeard    = evidence.MaxReportedHeard
	maxReportedPaces    = 8
	maxReportedOutcomes = 8
	// maxReportedStage, maxReportedOutcome and maxReportedFlows limit the numbers that a
	// peer may state.
	maxReportedStage   = 64
	maxReportedOutcome = 1 << 16
	maxReportedFlows   = 1 << 16
)

// encodeEvidence adds evidence to a report, the most urgent entries of each kind.
func encodeEvidence(m *peerapi.Report, e evidence.Report) {
	for _, s := range firstOf(e.Silences, maxReportedSilences) {
		m.Silences = append(m.Silences, &peerapi.ServerSilence{
			Cookie: uint32(s.Server), Witness: uint32(s.Witness), ZoneId: uint32(s.Zone), SilentMs: millis(s.SilentFor), AgeMs: millis(s.Age),
			Flows: uint32(s.Flows), Probe: peerapi.Probe(s.Probe),
		})
	}
	for _, h := range firstOf(e.Heard, maxReportedHeard) {
		m.Heard = append(m.Heard, &peerapi.ServerHeard{Cookie: uint32(h.Server), AgeMs: millis(h.Age)})
	}
	for _, p := range firstOf(e.Paces, maxReportedPaces) {
		m.Paces = append(m.Paces, &peerapi.ServerPace{Cookie: uint32(p.Server), Period: p.Period, Stage: uint32(p.Stage)})
	}
	for _, o := range firstOf(e.Outcomes, maxReportedOutcomes) {
		m.Outcomes = append(m.Outcomes, &peerapi.ServerOutcomes{
			Cookie: uint32(o.Server), Timely: uint32(o.Timely), Late: uint32(o.Late), Failed: uint32(o.Failed),
		})
	}
}

func firstOf[T any](list []T, limit int) []T { return list[:min(limit, len(list))] }

// millis converts an age to milliseconds, limited to what a report can state.
func millis(d time.Duration) uint32 {
	return uint32(min(max(0, d.Milliseconds()), math.MaxUint32))
}

// decodeEvidence returns the evidence in a report. Entries over the limits are ignored,
// and numbers are limited.
func decodeEvidence(m *peerapi.Report) evidence.Report {
	var e evidence.Report
	for _, s := range firstOf(m.Silences, maxReportedSilences) {
		probe := evidence.Probe(s.Probe)
		if s.Probe < 0 || probe > evidence.ProbeRefused {
			probe = evidence.ProbeNone
		}
		e.Silences = append(e.Silences, evidence.Silence{
			Server: directory.Cookie(s.Cookie), Witness: evidence.DaemonID(s.Witness), Zone: evidence.ZoneID(s.ZoneId),
			SilentFor: milliseconds(uint64(s.SilentMs)), Age: milliseconds(uint64(s.AgeMs)), Flows: int(min(s.Flows, maxReportedFlows)), Probe: probe,
		})
	}
	for _, h := range firstOf(m.Heard, maxReportedHeard) {
		e.Heard = append(e.Heard, evidence.Heard{Server: directory.Cookie(h.Cookie), Age: milliseconds(uint64(h.AgeMs))})
	}
	for _, p := range firstOf(m.Paces, maxReportedPaces) {
		e.Paces = append(e.Paces, evidence.Pace{Server: directory.Cookie(p.Cookie), Period: p.Period, Stage: int(min(p.Stage, maxReportedStage))})
	}
	for _, o := range firstOf(m.Outcomes, maxReportedOutcomes) {
		e.Outcomes = append(e.Outcomes, evidence.Outcomes{
			Server: directory.Cookie(o.Cookie), Timely: int(min(o.Timely, maxReportedOutcome)), Late: int(min(o.Late, maxReportedOutcome)),
			Failed: int(min(o.Failed, maxReportedOutcome)),
		})
	}
	return e
}
