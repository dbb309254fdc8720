package authority

import "peridotmoor.org/peridotmoor/internal/key"

// NoteKind says what a note reports.
type NoteKind int

// The kinds of notes, which the driver writes as events.
const (
	NoteTaken NoteKind = iota
	NoteTokenRaised
	NoteLost
	NoteReleased
	NoteNoMajority
	NoteWitnessesChanged
	NoteWitnessesSettled
	NoteRecordCreated
	NoteMajorityLost
	NoteProvenGone
)

// Note reports one decision of a Node.
type Note struct {
	Kind  NoteKind
	Shard key.ShardID
	Token Token
	// Other is the instance that the note is about, if any.
	Other Instance
}
