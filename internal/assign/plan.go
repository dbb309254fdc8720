package assign

import "peridotmoor.org/peridotmoor/internal/key"

// Move gives a range of the next assignment to another owner.
type Move struct {
	Bounds key.Range
	From   string
	To     string
	Reason Reason
	// Urgent marks a move off a server that is lost, out or leaving. It is not
	// bounded by MaxMovesPerSecond and holds new requests until those in flight end.
	Urgent bool
}

// Split cuts a range into parts that keep the owner.
type Split struct {
	Bounds key.Range
	Parts  []key.Range
	Reason Reason
}

// Merge joins adjacent ranges of one owner.
type Merge struct {
	Parts  []key.Range
	Into   key.Range
	Reason Reason
}

// StandbyChange replaces the standbys of a range.
type StandbyChange struct {
	Bounds key.Range
	First  string
	Second string
	Reason Reason
}

// Plan is the next assignment and how it differs from the current one. Splits
// and merges come before moves; moves name bounds of Next.
type Plan struct {
	Next     Assignment
	Moves    []Move
	Splits   []Split
	Merges   []Merge
	Standbys []StandbyChange
}

// IsEmpty reports whether the plan changes nothing.
func (p Plan) IsEmpty() bool {
	return len(p.Moves)+len(p.Splits)+len(p.Merges)+len(p.Standbys) == 0
}
