package tables

import (
	"fmt"
	"strings"
	"time"
)

// EntryKind is the kind of a table entry.
type EntryKind string

// Kinds of entries.
const (
	RouteEntry  EntryKind = "route"
	PoolEntry   EntryKind = "pool"
	ServerEntry EntryKind = "server"
	// TablesEntry stands for both tables together.
	TablesEntry EntryKind = "tables"
	// DeltaEntry stands for a change as a whole.
	DeltaEntry EntryKind = "delta"
)

// Entry names one entry of the tables.
type Entry struct {
	Kind EntryKind `json:"kind"`
	// Pool is set for a server.
	Pool string `json:"pool,omitempty"`
	Name string `json:"name,omitempty"`
}

// String returns the kind and the quoted names.
func (e Entry) String() string {
	switch e.Kind {
	case ServerEntry:
		return fmt.Sprintf("server %q of pool %q", e.Name, e.Pool)
	case TablesEntry:
		return "tables"
	}
	return fmt.Sprintf("%s %q", e.Kind, e.Name)
}

// Rule names a rule of the tables.
type Rule string

// Rules that a snapshot or a change can break.
const (
	RuleName              Rule = "name"
	RuleDuplicateName     Rule = "duplicate_name"
	RuleDuplicateID       Rule = "duplicate_id"
	RuleAddress           Rule = "address"
	RulePort              Rule = "port"
	RuleProtocol          Rule = "protocol"
	RuleAddressShared     Rule = "address_in_two_routes"
	RulePoolMissing       Rule = "pool_missing"
	RulePoolInUse         Rule = "pool_in_use"
	RuleEndpointShared    Rule = "endpoint_in_two_servers"
	RuleEndpointIsRoute   Rule = "endpoint_is_route_address"
	RuleFamily            Rule = "address_family"
	RuleZone              Rule = "zone"
	RuleState             Rule = "state"
	RuleLimit             Rule = "limit"
	RuleReservedAddress   Rule = "reserved_address"
	RuleReservedEndpoint  Rule = "reserved_endpoint"
	RuleEntryMissing      Rule = "entry_missing"
	RuleEntryChangedTwice Rule = "entry_changed_twice"
	RuleDelta             Rule = "delta"
)

// ValidationError says which entry breaks which rule.
type ValidationError struct {
	Entry  Entry
	Rule   Rule
	Detail string
	// Remaining is the time until a reservation ends, for the two rules about
	// reservations.
	Remaining time.Duration
}

// Error implements error.
func (e *ValidationError) Error() string {
	return fmt.Sprintf("%s: %s (rule %s)", e.Entry, e.Detail, e.Rule)
}

// InvalidError lists everything that is wrong with a change or a snapshot.
type InvalidError struct {
	Problems []*ValidationError
}

// maxListedProblems keeps the error of a large faulty table readable.
const maxListedProblems = 20

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, maxListedProblems+1)
	for i, p := range e.Problems {
		if i == maxListedProblems {
			lines = append(lines, fmt.Sprintf("and %d more", len(e.Problems)-i))
			break
		}
		lines = append(lines, p.Error())
	}
	return strings.Join(lines, "; ")
}

// Unwrap returns the problems, for errors.As.
func (e *InvalidError) Unwrap() []error {
	errs := make([]error, len(e.Problems))
	for i, p := range e.Problems {
		errs[i] = p
	}
	return errs
}

// VersionError is returned when a delta does not follow the snapshot.
type VersionError struct {
	Current Version
	Delta   Version
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("delta has version %d, want %d", e.Delta, e.Current+1)
}

// AlreadyApplied reports whether the snapshot already contains the delta's version.
// Otherwise deltas in between are missing.
func (e *VersionError) AlreadyApplied() bool { return e.Delta <= e.Current }

// HistoryError is returned when a delta was made on other tables that had the
// same version, as after the store was restored from a backup.
type HistoryError struct {
	// Version is the one before the delta, Have its write id in the snapshot
	// and Want its write id in the history of the delta.
	Version    Version
	Have, Want WriteID
}

// Error implements error.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("delta belongs to another history: version %d was made by write %q there and by %q here",
		e.Version, e.Want, e.Have)
}

// problems collects validation errors.
type problems []*ValidationError

func (p *problems) add(e Entry, r Rule, format string, args ...any) {
	*p = append(*p, &ValidationError{Entry: e, Rule: r, Detail: fmt.Sprintf(format, args...)})
}

func (p *problems) reserved(e Entry, r Rule, res Reservation, left time.Duration) {
	left = left.Round(time.Second)
	*p = append(*p, &ValidationError{Entry: e, Rule: r, Remaining: left, Detail: fmt.Sprintf(
		"%s is reserved for another %s because %q held it", res.Address, left, res.Owner)})
}

func (p problems) err() error {
	if len(p) == 0 {
		return nil
	}
	return &InvalidError{Problems: p}
}
