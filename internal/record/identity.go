package record

// identity is the key of a record within one shard.
type identity struct {
	key string
	id  string
}
