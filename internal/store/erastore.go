package store

// EraStore is a Store that may come back from an older copy. It then has lost its newest
// writes and leases, and gives their revisions and lease IDs out again, in a later era.
// Revisions and lease IDs are valid in their own era only.
type EraStore interface {
	Store
	// Era returns the highest era of all answers so far. If it is the same before and after
	// a call, the call was answered in that era. It is 0 for a store without eras.
	Era() uint64
}
