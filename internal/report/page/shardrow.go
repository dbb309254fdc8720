package page

// shardRow is one shard.
type shardRow struct {
	Shard string
	Y     float64
	Bars  []bar
}
