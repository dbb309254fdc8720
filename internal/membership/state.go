// Package membership merges the platform's lagging list of instances with
// direct evidence into the instances that are live, leaving, suspect or gone.
package membership

// State is what is believed about an instance.
type State int

// The states of an instance.
const (
	// Live means that the instance answers, or is listed and was never asked.
	Live State = iota
	// Leaving means that the instance says that it leaves, or is listed so.
	Leaving
	// Suspect means that the instance is silent. It may be paused or cut off.
	Suspect
	// Gone means that no process listens at the address, or that it has been
	// silent for long.
	Gone
)

// String returns the state as it appears in events.
func (s State) String() string {
	return [...]string{"live", "leaving", "suspect", "gone"}[s]
}
