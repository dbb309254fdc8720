package authority

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
