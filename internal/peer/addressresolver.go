package peer

import "peridotmoor.org/peridotmoor/internal/authority"

// AddressResolver finds the peer endpoint of an instance.
type AddressResolver interface {
	// Address returns host:port, and false when the instance is not known.
	Address(i authority.Instance) (string, bool)
}
