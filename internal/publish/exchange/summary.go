// Package exchange decides what one instance tells another about the settings
// in effect, the shard table and the quarantine, and what it accepts. It is
// pure: package publish carries the messages out.
package exchange

// Summary is what two instances compare; details are sent only where it differs.
type Summary struct {
	// SettingsVersion is the version in effect. In a request it is the highest
	// version that the sender need not be sent.
	SettingsVersion  uint64
	ShardDigest      uint64
	QuarantineDigest uint64
}
