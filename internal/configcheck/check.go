package configcheck

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// Severity tells whether a configuration with the finding must not be sent.
type Severity string

// Severities.
const (
	// Error marks a configuration that is refused or does not work.
	Error Severity = "error"
	// Warning marks an entry without effect, or one that is probably not meant so.
	Warning Severity = "warning"
)

// Rule names a kind of finding, for scripts.
type Rule string

// Rules of findings.
const (
	RuleInvalid       Rule = "invalid_value"
	RuleDuplicate     Rule = "duplicate_name"
	RuleUnknownPool   Rule = "unknown_pool"
	RuleNeverMatches  Rule = "never_matches"
	RuleUnused        Rule = "unused"
	RuleContradiction Rule = "contradiction"
	RuleOldVersion    Rule = "old_version"
	RuleUnknownField  Rule = "unknown_field"
)

// Finding is a mistake in a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	Rule     Rule     `json:"rule"`
	Path     string   `json:"path"`
	// Line counts from 1; zero if unknown.
	Line    int    `json:"line"`
	Message string `json:"message"`
}

// Check returns the mistakes in a document. inForce is the configuration that it is to
// replace; nil if there is none.
func Check(d *Document, inForce *Document) []Finding {
	c := checker{document: d, pools: map[string]bool{}, used: map[string]bool{}}
	c.checkVersion(inForce)
	c.checkPools()
	c.checkRoutes()
	for _, p := range d.Pools {
		if !c.used[p.Name] {
			c.add(Warning, RuleUnused, p.Position, "no route sends flows to pool %q", p.Name)
		}
	}
	return c.findings
}

// Sort orders findings by line, errors first within a line.
func Sort(findings []Finding) {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Severity, b.Severity))
	})
}

// HasErrors reports whether a configuration with these findings must not be sent.
func HasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == Error })
}

type checker struct {
	document    *Document
	pools, used map[string]bool
	findings    []Finding
}

func (c *checker) add(s Severity, r Rule, at Position, format string, args ...any) {
	c.findings = append(c.findings, Finding{Severity: s, Rule: r, Path: at.Path, Line: at.Line, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) checkVersion(inForce *Document) {
	if inForce != nil && c.document.Version <= inForce.Version {
		c.add(Error, RuleOldVersion, Position{Path: "version", Line: 1}, "version %d is not above version %d, which is in force", c.document.Version, inForce.Version)
	}
}

func (c *checker) checkPools() {
	for _, p := range c.document.Pools {
		if c.pools[p.Name] {
			c.add(Error, RuleDuplicate, p.Position, "pool %q is defined twice", p.Name)
		}
		c.pools[p.Name] = true
	}
}

func (c *checker) checkRoutes() {
	names := map[string]bool{}
	byAddress := map[netip.AddrPort]*Route{}
	for i := range c.document.Routes {
		r := &c.document.Routes[i]
		if names[r.Name] {
			c.add(Error, RuleDuplicate, r.Position, "route %q is defined twice", r.Name)
		}
		names[r.Name] = true
		// A later route with the same address takes the place of an earlier one.
		if earlier := byAddress[r.Address]; earlier != nil {
			c.add(Error, RuleNeverMatches, earlier.Position, "route %q never matches: route %q has the same address %s", earlier.Name, r.Name, r.Address)
		}
		byAddress[r.Address] = r
		c.checkShares(r)
		c.checkTimes(r)
	}
}

func (c *checker) checkShares(r *Route) {
	total := 0
	for _, s := range r.Shares {
		switch {
		case s.Weight < 0:
			c.add(Error, RuleInvalid, r.Position, "route %q gives pool %q the weight %d, want 0 or more", r.Name, s.Pool, s.Weight)
		case s.Weight == 0:
			c.add(Warning, RuleNeverMatches, r.Position, "route %q gives pool %q the weight 0: it gets no flows", r.Name, s.Pool)
		default:
			total += s.Weight
			c.used[s.Pool] = true
		}
		if !c.pools[s.Pool] {
			c.add(Error, RuleUnknownPool, r.Position, "route %q names pool %q, which is not defined", r.Name, s.Pool)
		}
	}
	if total == 0 {
		c.add(Error, RuleInvalid, r.Position, "route %q has no pool with a weight above 0", r.Name)
	}
}

// checkTimes finds times that contradict each other.
func (c *checker) checkTimes(r *Route) {
	for _, t := range []struct {
		name  string
		value time.Duration
	}{{"timeout", r.Timeout}, {"target latency", r.TargetLatency}} {
		if t.value < 0 {
			c.add(Error, RuleInvalid, r.Position, "route %q has the %s %s, want 0 or more", r.Name, t.name, t.value)
		}
	}
	if r.Timeout > 0 && r.TargetLatency > r.Timeout {
		c.add(Error, RuleContradiction, r.Position, "route %q has a target latency of %s, above its timeout of %s", r.Name, r.TargetLatency, r.Timeout)
	}
	if idle := c.document.FlowIdle; idle > 0 && r.Timeout > idle {
		c.add(Warning, RuleContradiction, r.Position, "route %q has a timeout of %s, but flows may be discarded after %s without a packet", r.Name, r.Timeout, idle)
	}
}
