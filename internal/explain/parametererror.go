package explain

// ParameterError says which parameter of a query is invalid.
type ParameterError struct {
	Parameter string
	// Remedy says what is expected. It never contains the value.
	Remedy string
}

// Error returns the name of the parameter and the remedy.
func (e *ParameterError) Error() string {
	return "parameter " + e.Parameter + ": " + e.Remedy
}
