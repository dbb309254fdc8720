package placing

// fairFlow is a stream of attempts that has an equal part of the service of its rank: those
// of a team, and apart from them those of a team that return to their places.
type fairFlow struct {
	rank     int
	team     string
	promised bool
}
