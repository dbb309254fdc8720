package exchange

import (
	"peridotmoor.org/peridotmoor/internal/authority"
)

// Request starts an exchange. It corresponds to ExchangeRequest of the peer protocol. Settings
// are sent only in replies: an instance that needs them requests them from one of the peers
// that announced them, so that several announcements cause only one transfer.
type Request struct {
	From    authority.Instance
	Domain  string
	Address string // host:port of the sender's peer endpoint
	Leaving bool
	Summary
	Shards     []ShardEntry
	Quarantine []QuarantineMark
}
