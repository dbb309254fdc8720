package page

// laneView is one shard.
type laneView struct {
	Shard string
	Y     float64
	Bars  []bar
}
