package evidence

import (
	"time"

	"knapweedshore.example/internal/directory"
)

// Reason is why a server counts as gone. The empty Reason stands for a server that lives or
// may live.
type Reason string

// Reasons of a verdict.
const (
	// AddressTaken means that a server that started later has registered at the address.
	AddressTaken Reason = "address_taken"
	// RegistrationGone means that the registration has vanished for good and that the address
	// does not accept connections.
	RegistrationGone Reason = "registration_gone"
	// ConnectionRefused means that the server acknowledges nothing and its VM has refused
	// a connection of this daemon.
	ConnectionRefused Reason = "connection_refused"
	// Silent means that the server has acknowledged nothing to several daemons and does not
	// accept connections.
	Silent Reason = "silent"
)

// Requirements of a verdict.
const (
	// minWitnesses and minFlows are the numbers of daemons and of flows that a silent server
	// has not answered. One of each may have lost packets. Two daemons that have probed the
	// server in vain stand for the flows.
	minWitnesses = 2
	minFlows     = 3
	minProbes    = 2
	// minSilence is how long a server must have been silent, which leaves a caller with a
	// deadline of 2 s time for another try. minProbedSilence applies to a server without
	// enough flows.
	minSilence       = 600 * time.Millisecond
	minProbedSilence = time.Second
	// contestTime is how long a doubt must be known, so that a daemon that has heard of the
	// server can contradict.
	contestTime = 300 * time.Millisecond
	// statementTTL is how long a statement of a witness counts. A daemon of a large zone
	// hears each peer about once a second.
	statementTTL = 1500 * time.Millisecond
	// maxReportAge is the time since the last report of a peer after which this daemon may
	// be the one that is cut off.
	maxReportAge = 500 * time.Millisecond
	// maxDirectoryAge is the age of the directory from which on the store may be away. Without
	// changes the directory is confirmed every 2 s.
	maxDirectoryAge = 3 * time.Second
	// reregisterTime is how long servers whose registrations have expired with the store
	// may take to register again after its return.
	reregisterTime = 2300 * time.Millisecond
)

// Statement is what a witness has stated of a server, dated by this daemon's clock.
type Statement struct {
	Zone ZoneID
	// Since is when the witness first sent data in vain, At when it stated that.
	Since, At time.Time
	// Flows is the number of flows that have sent data in vain; zero for a witness that has
	// only probed the server.
	Flows int
	Probe Probe
}

// Facts is what a daemon knows of a server that may be gone.
type Facts struct {
	Server *directory.Server
	// Successor is the server that has registered at the same address later, if any.
	Successor *directory.Server
	// HeardAt is the last proof that the server lives.
	HeardAt time.Time
	// DoubtedAt is when this daemon learned of the oldest statement that counts.
	DoubtedAt time.Time
	// Own is this daemon's statement, Others are those of its peers by witness.
	Own    Statement
	Others map[DaemonID]Statement
	// ReportedAt is when the last report of a peer was sent.
	ReportedAt time.Time
	// FreshSince is the time since which this daemon has run without a pause and with a
	// directory that is not older than maxDirectoryAge.
	FreshSince time.Time
}

// counts reports whether a statement is recent and no proof of life has refuted it.
func (f *Facts) counts(s Statement, now time.Time) bool {
	return (s.Flows > 0 || s.Probe != ProbeNone) && now.Sub(s.At) <= statementTTL && s.Since.After(f.HeardAt)
}

// Judge returns why a server is gone. Evidence that is certain does not depend on other
// daemons; silence does, because this daemon may be the one that is cut off.
func Judge(f Facts, now time.Time) Reason {
	s := f.Server
	sum := f.sum(now)
	refused := f.counts(f.Own, now) && f.Own.Probe == ProbeRefused
	switch {
	case f.Successor != nil && !f.HeardAt.After(f.Successor.ReadAt) && (s.Vanished() || sum.flows > 0):
		return AddressTaken
	case isUnregistered(s, f.HeardAt) && (refused || sum.probes > 0 && f.isMissingForGood(now)):
		return RegistrationGone
	case refused && sum.flows > 0:
		return ConnectionRefused
	case sum.shows(ZoneIDOf(s.Zone)) && now.Sub(f.ReportedAt) <= maxReportAge && now.Sub(f.DoubtedAt) >= contestTime:
		return Silent
	}
	return ""
}

// isUnregistered reports whether the registration of a server has vanished without anything
// that shows that the server lives since.
func isUnregistered(s *directory.Server, heardAt time.Time) bool {
	return s.Vanished() && s.Retired && !heardAt.After(s.MissingSince)
}

// isMissingForGood reports whether the store has been there without the registration for so
// long that a server which lives would have registered again. An outage of less than
// maxDirectoryAge goes unnoticed, so that the store may have returned that much later.
func (f *Facts) isMissingForGood(now time.Time) bool {
	return now.Sub(later(f.Server.MissingSince, f.FreshSince)) >= maxDirectoryAge+reregisterTime && now.Sub(f.DoubtedAt) >= contestTime
}

// sum adds up the statements that count.
type sum struct {
	// witnesses is the number of daemons with a statement, flows and probes those of flows
	// and probes in vain.
	witnesses, flows, probes int
	zones                    map[ZoneID]bool
	// first is the earliest time since which a witness has sent in vain, since the second
	// earliest, on which two of them agree, and until the latest statement.
	first, since, until time.Time
}

func (f *Facts) sum(now time.Time) sum {
	t := sum{zones: map[ZoneID]bool{}}
	add := func(s Statement) {
		if !f.counts(s, now) {
			return
		}
		if s.Probe != ProbeNone {
			t.probes++
		}
		t.witnesses++
		t.flows += s.Flows
		t.zones[s.Zone] = true
		switch {
		case t.witnesses == 1 || s.Since.Before(t.first):
			t.first, t.since = s.Since, t.first
		case t.since.IsZero() || s.Since.Before(t.since):
			t.since = s.Since
		}
		if s.At.After(t.until) {
			t.until = s.At
		}
	}
	add(f.Own)
	for _, s := range f.Others {
		add(s)
	}
	return t
}

// shows reports whether the statements show that a server of a zone is silent. Daemons of a
// single other zone may be cut off from it.
func (t sum) shows(zone ZoneID) bool {
	if t.witnesses < minWitnesses || t.flows == 0 || t.probes == 0 || !t.zones[zone] && len(t.zones) < 2 {
		return false
	}
	silence := t.until.Sub(t.since)
	return silence >= minSilence && t.flows >= minFlows || silence >= minProbedSilence && t.probes >= minProbes
}
