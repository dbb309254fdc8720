package authority

// EventKind says what a note reports.
type EventKind int

// The kinds of notes, which the driver writes as events.
const (
	EventShardTaken EventKind = iota
	EventTokenRaised
	EventShardLost
	EventShardReleased
	EventNoMajority
	EventWitnessesChanged
	EventPreviousWitnessesCleared
	EventRecordCreated
	EventWitnessMajorityLost
	EventInstanceProvenGone
)
