package bench

import (
	"github.com/go-faster/errors"

	"knapweedshore.example/internal/selection"
)

// DefaultPolicy is the name of the policy that daemons use by default.
const DefaultPolicy = "chooser"

// Policy is a named policy that chooses servers.
type Policy struct {
	Name string
	// New returns the policy for one daemon. It is nil for DefaultPolicy, because
	// each daemon creates its own Chooser and connects it to its event log.
	New func(seed uint64) selection.Policy
}

var policies = []Policy{
	{DefaultPolicy, nil},
	{"random", func(seed uint64) selection.Policy { return selection.NewRandom(seed) }},
	{"round-robin", func(seed uint64) selection.Policy { return selection.NewRoundRobin(seed) }},
	{"rendezvous", func(uint64) selection.Policy { return selection.NewRendezvous() }},
	{"least-connections", func(seed uint64) selection.Policy { return selection.NewLeastConnections(seed) }},
	{"two-choices", func(seed uint64) selection.Policy { return selection.NewTwoChoices(seed) }},
}

// Policies returns the names of all policies, beginning with DefaultPolicy.
func Policies() []string {
	var names []string
	for _, p := range policies {
		names = append(names, p.Name)
	}
	return names
}

// PolicyByName returns the policy with the name.
func PolicyByName(name string) (Policy, error) {
	for _, p := range policies {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, errors.Errorf("unknown policy %q", name)
}

// perDaemon returns a function that creates a policy for each daemon in turn, with
// a different seed for each. It is nil for DefaultPolicy.
func (p Policy) perDaemon(seed uint64) func() selection.Policy {
	if p.New == nil {
		return nil
	}
	return func() selection.Policy {
		seed++
		return p.New(seed)
	}
}
