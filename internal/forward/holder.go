// Package forward sends a request from the entry instance to the holder of its shard,
// and decides when the request may be sent again. It is independent of any encoding.
package forward

import "peridotmoor.org/peridotmoor/internal/authority"

// Holder is the current holder of a shard according to this instance.
type Holder struct {
	Instance authority.Instance
	// Address is host:port of the holder's peer endpoint, or empty for this instance.
	Address string
	Token   authority.Token
}
