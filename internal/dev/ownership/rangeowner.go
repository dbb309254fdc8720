package ownership

// rangeOwner identifies a server as the owner of ranges of one shard.
type rangeOwner struct {
	service string
	shard   int
	server  string
}
