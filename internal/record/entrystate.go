package record

// entryState is the immutable state of an entry: an execution in progress, or the
// record of one that has ended.
type entryState struct {
	execution *Execution
	record    *Record
}
