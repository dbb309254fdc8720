package ownership

// rangeOwner names one server of one service under one shard.
type rangeOwner struct {
	service string
	shard   int
	server  string
}
