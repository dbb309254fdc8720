// Package exchange decides what one instance tells another about the settings
// in effect, the shard table and the quarantine, and what it accepts. It is
// pure: package publish carries the messages out.
package exchange

import "peridotmoor.org/peridotmoor/internal/authority"

// Summary is what two instances compare; details are sent only where it differs.
type Summary struct {
	// SettingsVersion is the version in effect. In a request it is the highest
	// version that the sender need not be sent.
	SettingsVersion  uint64
	ShardDigest      uint64
	QuarantineDigest uint64
}

// SettingsValue is an accepted settings version. Value is the stored form as
// packed by settings/version.Pack.
type SettingsValue struct {
	Version uint64
	Value   []byte
}

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
	Quarantine []Mark
}

// Reply ends an exchange. It corresponds to ExchangeReply of the peer protocol.
type Reply struct {
	From    authority.Instance
	Domain  string
	Leaving bool
	Summary
	Shards     []ShardEntry
	Quarantine []Mark
	Settings   *SettingsValue
}
