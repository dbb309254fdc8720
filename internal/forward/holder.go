// Package forward takes a request at the entry instance and sends it to the
// holder of its shard. It decides when the request may be sent again; it holds
// no encoding.
package forward

import "peridotmoor.org/peridotmoor/internal/authority"

// Holder is the current holder of a shard as far as this instance knows.
type Holder struct {
	Instance authority.Instance
	// Address is host:port of the holder's peer endpoint; empty for this instance.
	Address string
	Token   authority.Token
}
