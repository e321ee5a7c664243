package bench

import (
	"github.com/go-faster/errors"

	"knapweedshore.example/internal/selection"
)

// DefaultPolicy is the name of the policy that daemons use by default.
const DefaultPolicy = "chooser"

// Policy is a way to choose servers.
type Policy struct {
	Name string
	// New builds the policy of one daemon. It is nil for Own, because a daemon
	// connects its Chooser to its event log itself.
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

// Policies returns the names of all policies, Own first.
func Policies() []string {
	var names []string
	for _, p := range policies {
		names = append(names, p.Name)
	}
	return names
}

// PolicyByName returns the policy with this name.
func PolicyByName(name string) (Policy, error) {
	for _, p := range policies {
		if p.Name == name {
			return p, nil
		}
	}
	return Policy{}, errors.Errorf("no policy %q", name)
}

// perDaemon returns a function that builds the policies of successive daemons,
// with a different seed for each.
func (p Policy) perDaemon(seed uint64) func() selection.Policy {
	if p.New == nil {
		return nil
	}
	return func() selection.Policy {
		seed++
		return p.New(seed)
	}
}
