package authority

// EventKind identifies the decision that an Event reports.
type EventKind int

// The event kinds. The driver logs each as an event of package events.
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
