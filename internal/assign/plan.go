package assign

// Plan is the next assignment and its differences from the current one. Splits
// and merges are applied before moves; the bounds of moves are ranges of Next.
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
