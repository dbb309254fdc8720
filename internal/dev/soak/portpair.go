package soak

// portPair identifies a connection on loopback.
type portPair struct {
	local, remote int
}
