package configcheck

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// Change is a difference between two configurations.
type Change struct {
	// Kind is "added", "removed" or "changed".
	Kind string `json:"kind"`
	// Subject is the entry, such as route "mapas".
	Subject string `json:"subject"`
	// Before and After are the differing settings.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Kinds of a Change.
const (
	Added   = "added"
	Removed = "removed"
	Changed = "changed"
)

// Diff returns what differs in next from the configuration in force, sorted by subject.
func Diff(inForce, next *Document) []Change {
	before, after := inForce.entries(), next.entries()
	var out []Change
	for _, subject := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[subject]; !ok {
			out = append(out, Change{Kind: Removed, Subject: subject, Before: join(before[subject], nil)})
		}
	}
	for _, subject := range slices.Sorted(maps.Keys(after)) {
		old, ok := before[subject]
		switch {
		case !ok:
			out = append(out, Change{Kind: Added, Subject: subject, After: join(after[subject], nil)})
		case !maps.Equal(old, after[subject]):
			out = append(out, Change{Kind: Changed, Subject: subject, Before: join(old, after[subject]), After: join(after[subject], old)})
		}
	}
	return out
}

// entries returns the settings of each entry of a document by subject.
func (d *Document) entries() map[string]map[string]string {
	out := map[string]map[string]string{}
	for _, r := range d.Routes {
		var shares []string
		for _, s := range r.Shares {
			shares = append(shares, fmt.Sprintf("%s:%d", s.Pool, s.Weight))
		}
		out[fmt.Sprintf("route %q", r.Name)] = map[string]string{
			"address": r.Address.String(), "kind": r.Kind, "pools": strings.Join(shares, ","), "timeout": r.Timeout.String(),
			"target_latency": r.TargetLatency.String(), "priority": strconv.Itoa(r.Priority),
		}
	}
	for _, p := range d.Pools {
		out[fmt.Sprintf("pool %q", p.Name)] = p.Settings
	}
	for _, l := range d.Limits {
		out[fmt.Sprintf("limit %q", l.Name)] = map[string]string{"value": strconv.FormatFloat(l.Value, 'g', -1, 64)}
	}
	return out
}

// join lists the settings that are missing or different in other, sorted by name; all
// settings if other is nil.
func join(settings, other map[string]string) string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(settings)) {
		if value, ok := other[name]; other == nil || !ok || value != settings[name] {
			out = append(out, name+"="+settings[name])
		}
	}
	return strings.Join(out, " ")
}
