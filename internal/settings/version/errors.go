package version

import "fmt"

// OlderStoreError means that the store holds an older version than the one in
// effect, as after a restore of the store.
type OlderStoreError struct {
	Stored   uint64 // 0 when the store holds none
	InEffect uint64
}

// Error names both versions and how to proceed.
func (e *OlderStoreError) Error() string {
	return fmt.Sprintf("the store holds version %d but version %d is in effect; instances repair the store within seconds of its return, wait and apply again", e.Stored, e.InEffect)
}

// UnchangedError means that the proposal holds the same settings as the accepted version.
type UnchangedError struct {
	Current Version
}

// Error names the accepted version.
func (e *UnchangedError) Error() string {
	return fmt.Sprintf("nothing to apply: %s holds the same text", e.Current)
}

// UncertainError means that the store's answer was lost and could not be read
// back before the deadline. The change may have taken effect.
type UncertainError struct {
	Proposal Version
	cause    error
}

// Error says how to learn the result.
func (e *UncertainError) Error() string {
	return fmt.Sprintf("the store's answer was lost (%v); version %d may have been accepted: when the store responds, look for write_id %s in the history before applying again", e.cause, e.Proposal.Number, e.Proposal.WriteID)
}

// Unwrap returns the failure of the last call.
func (e *UncertainError) Unwrap() error { return e.cause }

// NotSettledError means that the change needs the accepted version to be in
// effect at every instance, and it is not known to be.
type NotSettledError struct {
	Current uint64
	cause   error
}

// Error says how to proceed.
func (e *NotSettledError) Error() string {
	return fmt.Sprintf("the change decides who owns keys and needs version %d in effect at every instance first: %v", e.Current, e.cause)
}

// Unwrap returns why the version is not known to be in effect.
func (e *NotSettledError) Unwrap() error { return e.cause }
