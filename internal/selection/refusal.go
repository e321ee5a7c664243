package selection

import "knapweedshore.example/internal/metrics"

// RefusalError tells why no server was chosen.
type RefusalError struct {
	// Reason is metrics.NoUsableServer or metrics.ServerLimit.
	Reason metrics.Reason
}

// Error implements error.
func (e *RefusalError) Error() string { return "choose a server: " + string(e.Reason) }

// The refusals are built once: a flood of refused flows must not allocate.
var (
	errNoUsableServer = &RefusalError{Reason: metrics.NoUsableServer}
	errServerLimit    = &RefusalError{Reason: metrics.ServerLimit}
)
