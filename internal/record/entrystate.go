package record

// entryState is what the entry knows: a run in progress, or the record of its end.
type entryState struct {
	execution *Execution
	record    *Record
}
