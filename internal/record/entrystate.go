package record

// phase is what the entry knows: a run in progress, or the record of its end.
type phase struct {
	run    *Execution
	record *Record
}
