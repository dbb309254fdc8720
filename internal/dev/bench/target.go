package bench

// target is an address that requests are sent to.
type target struct {
	address string
	// service and shard are set only if the target is a server.
	service string
	shard   string
}
