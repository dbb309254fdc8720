// Package membership combines the platform's list of instances, which lags behind, with direct
// observations, and decides which instances are live, leaving, suspect or gone.
package membership

// State is the presumed state of an instance.
type State int

// The states of an instance.
const (
	// Live means that the instance responds, or that it is listed and has not been probed yet.
	Live State = iota
	// Leaving means that the instance says that it is leaving, or is listed as leaving.
	Leaving
	// Suspect means that the instance does not respond. It may be paused or partitioned.
	Suspect
	// Gone means that no process listens at the address, or that the instance has been suspect
	// for goneTimeout.
	Gone
)

// String returns the state as it is written in log events.
func (s State) String() string {
	return [...]string{"live", "leaving", "suspect", "gone"}[s]
}
