package shard

// ServerConfig holds the settings of one backend server of the shard.
type ServerConfig struct {
	Name   string
	Domain string
	// Address is host:port. A changed address means another server process.
	Address string
	// OutOfService reports that the server or its failure domain has state = out.
	OutOfService bool
	// ChecksTokens reports whether the server refuses orders with a token lower than
	// the highest it has accepted.
	ChecksTokens bool
	Slots        int
}
