package store

// CallError describes a failed call. Kind is one of the errors of a Store, Cause the
// underlying error. errors.Is matches both.
type CallError struct {
	Kind, Cause error
}

// Error implements error.
func (e *CallError) Error() string { return e.Kind.Error() + ": " + e.Cause.Error() }

// Unwrap returns Kind and Cause.
func (e *CallError) Unwrap() []error { return []error{e.Kind, e.Cause} }
