package exchange

import (
	"peridotmoor.org/peridotmoor/internal/authority"
)

// Request opens an exchange. It corresponds to ExchangeRequest of the peer
// protocol. Settings travel only in replies: a receiver that lacks them asks
// one sender, so that several announcements cause one transfer.
type Request struct {
	From    authority.Instance
	Domain  string
	Address string // host:port of the sender's peer endpoint
	Leaving bool
	Summary
	Shards     []ShardEntry
	Quarantine []QuarantineMark
}
