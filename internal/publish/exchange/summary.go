// Package exchange contains the decisions of the anti-entropy exchange between two instances:
// what is sent about the settings in effect, the shard table and the quarantine, and what is
// accepted. It does no I/O; package publish sends the messages.
package exchange

// Summary is what two instances compare. Full entries are sent only for the parts that differ.
type Summary struct {
	// SettingsVersion is the version in effect. In a request it is the highest version that the
	// sender does not need to receive, which may be one that it refused.
	SettingsVersion  uint64
	ShardDigest      uint64
	QuarantineDigest uint64
}
