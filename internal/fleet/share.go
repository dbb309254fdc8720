package fleet

// Share is one service of a route with its weight. Weights of a route need not sum to 1.
type Share struct {
	Service string
	Weight  float64
}
