package record

// identity distinguishes the records of one shard.
type identity struct {
	key string
	id  string
}
