package router

// ShardStatus is the state of one held shard.
type ShardStatus struct {
	Shard string `json:"shard"`
	Token string `json:"token"`
	// Servers lists the backend servers of the shard.
	Servers []ServerStatus `json:"servers"`
	// Ranges counts the ranges of the shard, and Unowned those without an owner.
	Ranges  int `json:"ranges"`
	Unowned int `json:"unowned"`
	// Mirrors lists the instances with a complete copy of the request records.
	Mirrors []string `json:"mirrors"`
}
