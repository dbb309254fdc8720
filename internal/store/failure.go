package store

// Failure is the error of a failed call: one of the errors of this package and its
// cause. It wraps both.
type Failure struct {
	Kind  error
	Cause error
}

// Fail returns a Failure of the given kind. cause may be nil.
func Fail(kind, cause error) error {
	return &Failure{Kind: kind, Cause: cause}
}

// Error returns the kind with its remedy, followed by the cause.
func (f *Failure) Error() string {
	if f.Cause == nil {
		return f.Kind.Error()
	}
	return f.Kind.Error() + ": " + f.Cause.Error()
}

// Unwrap returns the kind and the cause.
func (f *Failure) Unwrap() []error {
	if f.Cause == nil {
		return []error{f.Kind}
	}
	return []error{f.Kind, f.Cause}
}
