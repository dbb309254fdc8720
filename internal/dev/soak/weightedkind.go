package soak

// weightedKind is a kind of event with its share in a theme.
type weightedKind struct {
	kind   eventKind
	weight int
}
