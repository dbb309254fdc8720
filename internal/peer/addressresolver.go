package peer

import "peridotmoor.org/peridotmoor/internal/authority"

// AddressResolver looks up the peer endpoint of an instance.
type AddressResolver interface {
	// Address returns host:port, or false if the instance is unknown.
	Address(i authority.Instance) (string, bool)
}
