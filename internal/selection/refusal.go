package selection

import "knapweedshore.example/internal/metrics"

// RefusalError reports why no server was chosen.
type RefusalError struct {
	// Reason is metrics.NoUsableServer or metrics.ServerLimit.
	Reason metrics.Reason
}

// Error implements error.
func (e *RefusalError) Error() string { return "choose a server: " + string(e.Reason) }

// Refusals are allocated once, so that a flood of refused flows does not allocate.
var (
	errNoUsableServer = &RefusalError{Reason: metrics.NoUsableServer}
	errServerLimit    = &RefusalError{Reason: metrics.ServerLimit}
)
