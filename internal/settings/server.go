package settings

// Server is a backend server.
type Server struct {
	Name    string
	Service string
	Domain  string
	Region  string
	// Address has the form host:port.
	Address string
	// Shard is the index of the shard that the server belongs to.
	Shard  int
	Policy ServerPolicy
}
