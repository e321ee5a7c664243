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
	// TablesEntry refers to both tables as a whole.
	TablesEntry EntryKind = "tables"
	// DeltaEntry refers to a change as a whole.
	DeltaEntry EntryKind = "delta"
)

// Entry identifies one entry of the tables.
type Entry struct {
	Kind EntryKind `json:"kind"`
	// Pool is the pool of a server, and empty for other kinds.
	Pool string `json:"pool,omitempty"`
	Name string `json:"name,omitempty"`
}

// String returns the kind and the quoted name, for a server also its pool.
func (e Entry) String() string {
	switch e.Kind {
	case ServerEntry:
		return fmt.Sprintf("server %q of pool %q", e.Name, e.Pool)
	case TablesEntry:
		return "tables"
	}
	return fmt.Sprintf("%s %q", e.Kind, e.Name)
}

// Rule identifies a validation rule.
type Rule string

// Rules that a snapshot or a delta can violate.
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

// ValidationError reports that an entry violates a rule.
type ValidationError struct {
	Entry  Entry
	Rule   Rule
	Detail string
	// Remaining is the time until the reservation expires. It is set for
	// RuleReservedAddress and RuleReservedEndpoint.
	Remaining time.Duration
}

// Error implements error.
func (e *ValidationError) Error() string {
	return fmt.Sprintf("%s: %s (rule %s)", e.Entry, e.Detail, e.Rule)
}

// InvalidError lists all problems of a delta or a snapshot.
type InvalidError struct {
	Problems []*ValidationError
}

// maxListedProblems limits the problems in an error text, to keep it readable.
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

// VersionError reports that the version of a delta is not the one after the
// current version.
type VersionError struct {
	Current Version
	Delta   Version
}

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("delta has version %d, want %d", e.Delta, e.Current+1)
}

// AlreadyApplied reports whether the snapshot already contains the delta's
// version. If not, deltas between the two versions are missing.
func (e *VersionError) AlreadyApplied() bool { return e.Delta <= e.Current }

// HistoryError reports that a delta was made for different tables with the same
// version number. This happens after the store was restored from a backup.
type HistoryError struct {
	// Version is the version before the delta. Have is its write id in the
	// snapshot, Want its write id according to the delta.
	Version    Version
	Have, Want WriteID
}

// Error implements error.
func (e *HistoryError) Error() string {
	return fmt.Sprintf("delta belongs to a different history: its version %d has write id %q, the snapshot's has %q",
		e.Version, e.Want, e.Have)
}

// problems collects validation errors.
type problems []*ValidationError

func (p *problems) add(e Entry, r Rule, format string, args ...any) {
	*p = append(*p, &ValidationError{Entry: e, Rule: r, Detail: fmt.Sprintf(format, args...)})
}

// addReserved adds the violation of a reservation that expires after remaining.
func (p *problems) addReserved(e Entry, r Rule, res Reservation, remaining time.Duration) {
	remaining = remaining.Round(time.Second)
	*p = append(*p, &ValidationError{Entry: e, Rule: r, Remaining: remaining, Detail: fmt.Sprintf(
		"%s is reserved for another %s after its use by %q", res.Address, remaining, res.Owner)})
}

// err returns an *InvalidError, or nil if there are no problems.
func (p problems) err() error {
	if len(p) == 0 {
		return nil
	}
	return &InvalidError{Problems: p}
}
