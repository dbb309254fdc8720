package assign

import (
	"peridotmoor.org/peridotmoor/internal/key"
)

// StandbyChange replaces the standbys of a range.
type StandbyChange struct {
	Bounds        key.Range
	FirstStandby  string
	SecondStandby string
	Reason        Reason
}
