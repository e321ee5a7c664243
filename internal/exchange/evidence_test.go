package exchange

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"knapweedshore.example/internal/directory"
	"knapweedshore.example/internal/evidence"
	"knapweedshore.example/internal/placement"
	"knapweedshore.example/peerapi"
)

// Guards against evidence that makes a report exceed one packet of the network, that is
// lost in the encoding, or that grows with the number of servers.
func TestEvidenceFitsIntoAReport(t *testing.T) {
	is := is.New(t)
	r := Report{VM: "front-a-1", Zone: "a", Start: 1 << 60, Sequence: 1 << 40, Load: placement.Load{InProgress: map[directory.Cookie]int{}}}
	for i := range 1000 {
		c := directory.Cookie(1<<31 + i)
		r.Load.InProgress[c] = 100
		r.Load.Suspected = append(r.Load.Suspected, c)
		r.Evidence.Silences = append(r.Evidence.Silences, evidence.Silence{Server: c, Witness: 1 << 31, Zone: 1 << 31, SilentFor: time.Hour, Age: time.Hour, Flows: 1000, Probe: evidence.ProbeRefused})
		r.Evidence.Heard = append(r.Evidence.Heard, evidence.Heard{Server: c, Age: time.Hour})
		r.Evidence.Paces = append(r.Evidence.Paces, evidence.Pace{Server: c, Period: 1 << 62, Stage: 9})
		r.Evidence.Outcomes = append(r.Evidence.Outcomes, evidence.Outcomes{Server: c, Timely: 1000, Late: 1000, Failed: 1000})
	}
	b, err := encodeReport(r)
	is.NoErr(err)
	is.True(len(b) <= maxReportSize)
	got, err := decodeReport(b)
	is.NoErr(err)
	is.Equal(got.Evidence.Silences, r.Evidence.Silences[:maxReportedSilences])
	is.Equal(got.Evidence.Heard, r.Evidence.Heard[:maxReportedHeard])
	is.Equal(got.Evidence.Paces, r.Evidence.Paces[:maxReportedPaces])
	is.Equal(got.Evidence.Outcomes, r.Evidence.Outcomes[:maxReportedOutcomes])
	is.True(len(got.Load.InProgress) > 0)
}

// Guards against absurd numbers of a peer that overflow or claim more than a report can
// hold.
func TestAbsurdEvidenceIsBounded(t *testing.T) {
	is := is.New(t)
	m := &peerapi.Report{Vm: "a", Zone: "z", Start: 1}
	for range 500 {
		m.Silences = append(m.Silences, &peerapi.ServerSilence{SilentMs: math.MaxUint32, AgeMs: math.MaxUint32, Flows: math.MaxUint32, Probe: 99})
		m.Paces = append(m.Paces, &peerapi.ServerPace{Period: math.MaxUint64, Stage: math.MaxUint32})
		m.Outcomes = append(m.Outcomes, &peerapi.ServerOutcomes{Timely: math.MaxUint32, Late: math.MaxUint32, Failed: math.MaxUint32})
	}
	b, err := proto.Marshal(m)
	is.NoErr(err)
	r, err := decodeReport(b)
	is.NoErr(err)
	is.Equal(len(r.Evidence.Silences), maxReportedSilences)
	is.Equal(r.Evidence.Silences[0], evidence.Silence{SilentFor: maxAge, Age: maxAge, Flows: maxReportedFlows})
	is.Equal(r.Evidence.Paces[0].Stage, maxReportedStage)
	is.Equal(r.Evidence.Outcomes[0], evidence.Outcomes{Timely: maxReportedOutcome, Late: maxReportedOutcome, Failed: maxReportedOutcome})
}
