package ownership

// owner names one server of one service under one shard.
type owner struct {
	service string
	shard   int
	server  string
}
