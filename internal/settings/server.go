package settings

// Server is one backend server of the tree.
type Server struct {
	Name    string
	Service string
	Domain  string
	Region  string
	// Address is host:port.
	Address string
	// Shard is the index of the shard that the server works for.
	Shard  int
	Policy ServerPolicy
}
