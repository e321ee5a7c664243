package store

// CallError is a failed call: Kind is one of the errors of a Store, Cause what
// happened. errors.Is finds both.
type CallError struct {
	Kind, Cause error
}

// Error implements error.
func (e *CallError) Error() string { return e.Kind.Error() + ": " + e.Cause.Error() }

// Unwrap returns both errors.
func (e *CallError) Unwrap() []error { return []error{e.Kind, e.Cause} }
