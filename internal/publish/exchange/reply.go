package exchange

import (
	"peridotmoor.org/peridotmoor/internal/authority"
)

// Reply is the response to a Request. It corresponds to ExchangeReply of the peer protocol.
type Reply struct {
	From    authority.Instance
	Domain  string
	Leaving bool
	Summary
	Shards     []ShardEntry
	Quarantine []QuarantineMark
	Settings   *SettingsValue
}
