package page

// shardRow is the row of one shard.
type shardRow struct {
	Shard string
	Y     float64
	Bars  []bar
}
