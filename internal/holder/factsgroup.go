package holder

import "peridotmoor.org/peridotmoor/internal/link"

// factsGroup identifies followers that are sent the same facts.
type factsGroup struct {
	told link.Told
	// transferring is set for followers that get the listing and the owners in parts.
	transferring bool
	// unpacks is set for followers that read packed facts.
	unpacks bool
}
