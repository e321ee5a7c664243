package evidence

import (
	"time"

	"knapweedshore.example/internal/directory"
)

// Verdict is a change of what a daemon believes of a server.
type Verdict struct {
	Server *directory.Server
	// Reason is why the server counts as gone; empty if it no longer does.
	Reason Reason
	// Witnesses and Flows are the numbers of daemons and of their flows that the server has
	// not answered, as far as known here.
	Witnesses, Flows int
	// SilentFor is the time since the last proof that the server lives, zero if there was none.
	SilentFor time.Duration
	// Withheld is set if the evidence is sufficient, but too many servers of the pool are silent.
	Withheld bool
}

// Gone returns why a server counts as gone; empty if it does not.
func (s *Silences) Gone(c directory.Cookie) Reason {
	if s.gone.Load() == 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if x := s.servers[c]; x != nil {
		return x.verdict
	}
	return ""
}

// GoneCount returns the number of servers that count as gone.
func (s *Silences) GoneCount() int { return int(s.gone.Load()) }

// Judge judges the servers that may be gone and returns the changes.
func (s *Silences) Judge(now time.Time) []Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, age := s.options.Directory(now)
	if d == nil {
		return nil
	}
	if p := s.options.LastPause(now); p.After(s.pausedAt) {
		s.pausedAt, s.freshSince = p, now
		return s.forget(d)
	}
	if age > maxDirectoryAge || s.freshSince.IsZero() {
		s.freshSince = now
	}
	var changes []Verdict
	suspects := map[directory.Cookie]*directory.Server{}
	for _, server := range d.Vanished() {
		suspects[server.Cookie] = server
	}
	silent := map[string]int{}
	for c, x := range s.servers {
		server := d.ByCookie(c)
		if server == nil {
			if x.verdict != "" {
				s.gone.Add(-1)
			}
			delete(s.servers, c)
			continue
		}
		if x.verdict == Silent && !server.Retired {
			silent[server.Pool]++
		}
		if x.verdict != "" || !now.After(x.doubtUntil) {
			suspects[c] = server
		}
	}
	for c, server := range suspects {
		x := s.suspect(c)
		// Another change of a registration may have been written long before it was read.
		registeredAgain := x.verdict == RegistrationGone && !server.Vanished()
		if registeredAgain || server.Started != x.started && x.started != 0 {
			x.heard(now)
		}
		x.started = server.Started
		v := s.judge(d, server, x, now)
		if v.Reason == Silent && x.verdict == "" {
			if float64(silent[server.Pool]+1) > maxSilentShare*float64(d.PoolSize(server.Pool)) {
				if !x.withheld {
					x.withheld, v.Withheld = true, true
					changes = append(changes, v)
				}
				continue
			}
			silent[server.Pool]++
		}
		x.withheld = false
		if v.Reason == x.verdict {
			continue
		}
		switch {
		case x.verdict == "":
			s.gone.Add(1)
		case v.Reason == "":
			s.gone.Add(-1)
		}
		reported := x.verdict == "" || v.Reason == ""
		x.verdict, x.judgedAt = v.Reason, now
		if reported {
			changes = append(changes, v)
		}
	}
	return changes
}

// judge judges one server. A verdict stands until a proof of life, or for verdictTTL if
// the server is still registered.
func (s *Silences) judge(d *directory.Directory, server *directory.Server, x *suspect, now time.Time) Verdict {
	f := Facts{
		Server: server, Successor: d.Successor(server), HeardAt: x.heardAt, DoubtedAt: x.doubtedAt,
		Own: s.own(server, x, now), Others: x.others, ReportedAt: s.reportedAt, FreshSince: s.freshSince,
	}
	total := f.sum(now)
	v := Verdict{Server: server, Reason: Judge(f, now), Witnesses: total.witnesses, Flows: total.flows}
	if !x.heardAt.IsZero() {
		v.SilentFor = now.Sub(x.heardAt)
	}
	stands := x.verdict != "" && !x.heardAt.After(x.judgedAt) && (server.Vanished() || now.Sub(x.judgedAt) < verdictTTL)
	if v.Reason == "" && stands {
		v.Reason = x.verdict
	}
	return v
}

// forget drops all evidence and verdicts, after a pause in which this daemon could not hear
// that a server lives.
func (s *Silences) forget(d *directory.Directory) []Verdict {
	var changes []Verdict
	for c, x := range s.servers {
		if server := d.ByCookie(c); server != nil && x.verdict != "" {
			changes = append(changes, Verdict{Server: server})
		}
	}
	s.servers = map[directory.Cookie]*suspect{}
	s.gone.Store(0)
	return changes
}

// Undecided returns the servers whose registrations have vanished and that do not count as
// gone yet; nil if there are none.
func (s *Silences) Undecided(now time.Time) map[directory.Cookie]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, _ := s.options.Directory(now)
	if d == nil {
		return nil
	}
	var out map[directory.Cookie]bool
	for _, server := range d.Vanished() {
		if x := s.servers[server.Cookie]; x != nil && x.verdict != "" {
			continue
		}
		if out == nil {
			out = map[directory.Cookie]bool{}
		}
		out[server.Cookie] = true
	}
	return out
}

// SetHeld sets the undecided servers to which this daemon has flows.
func (s *Silences) SetHeld(held map[directory.Cookie]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = held
}

// DueProbes returns the servers to probe now. The result of each goes to Probed.
func (s *Silences) DueProbes(now time.Time) []*directory.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, age := s.options.Directory(now)
	if d == nil {
		return nil
	}
	var out []*directory.Server
	add := func(server *directory.Server, x *suspect) {
		if now.Sub(s.probesAt) >= time.Second {
			s.probesAt, s.probeCount = now, 0
		}
		if s.probeCount < maxProbesPerSecond && now.Sub(x.probedAt) >= probeInterval && now.Sub(x.acceptedAt) >= acceptedInterval && !x.isProbed(now) {
			s.probeCount++
			x.probedAt = now
			out = append(out, server)
		}
	}
	for c, x := range s.servers {
		if x.verdict != "" || now.After(x.doubtUntil) {
			continue
		}
		server := d.ByCookie(c)
		switch {
		case server == nil:
		case x.vainFlows > 0:
			if x.vainFlows > 1 || len(x.others) > 0 || now.Sub(x.vainSince) >= probeAfter {
				add(server, x)
			}
		case len(x.others) > 0 && server.Zone == s.options.Zone && now.Sub(x.doubtedAt) >= probeAfter && s.options.Draw() < helperProbeShare:
			add(server, x)
		}
	}
	for c := range s.held {
		server, x := d.ByCookie(c), s.suspect(c)
		if server != nil && x.verdict == "" && age <= maxDirectoryAge && isUnregistered(server, x.heardAt) && s.options.Draw() < vanishedProbeShare {
			add(server, x)
		}
	}
	return out
}

// isProbed reports whether enough other daemons have probed the server.
func (x *suspect) isProbed(now time.Time) bool {
	probes := 0
	for _, st := range x.others {
		if st.Probe != ProbeNone && now.Sub(st.At) <= statementTTL {
			probes++
		}
	}
	return probes >= minProbes
}

// Probed records the result of a probe that DueProbes asked for; ok is set if the server's
// VM has accepted the connection.
func (s *Silences) Probed(server *directory.Server, ok bool, result Probe, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.suspect(server.Cookie)
	if ok {
		x.acceptedAt = now
		if now.Sub(x.heardAt) < minAddressReuse {
			x.heard(now)
			x.doubt(now)
			x.sentHeard = 0
			s.options.OnNews()
		}
		return
	}
	if result == ProbeNone || !x.probedAt.After(x.heardAt) {
		return
	}
	x.probe, x.statedAt = result, now
	delete(x.sent, s.self)
	x.doubt(now)
	s.options.OnNews()
}
