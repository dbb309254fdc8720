package events

import "github.com/charmbracelet/log"

// Events of authority over shards, 1100 to 1199.
var (
	ShardTaken          = register(1100, "shard_taken", log.InfoLevel, "This instance has become the holder of a shard.")
	ShardTokenRaised    = register(1101, "shard_token_raised", log.InfoLevel, "The holder of a shard continues with a higher token.")
	ShardLost           = register(1102, "shard_lost", log.WarnLevel, "The tenure of a shard ended because no majority of its witnesses renewed it.")
	ShardReleased       = register(1103, "shard_released", log.InfoLevel, "The holder of a shard has released it for a hand-over.")
	ShardNoMajority     = register(1104, "shard_no_majority", log.WarnLevel, "A majority of the witnesses of a shard does not answer.")
	WitnessesChanged    = register(1105, "witnesses_changed", log.InfoLevel, "The witnesses of a shard have been changed.")
	WitnessesSettled    = register(1106, "witnesses_settled", log.InfoLevel, "The previous witnesses of a shard are sealed and have been removed from its record.")
	ShardRecordCreated  = register(1107, "shard_record_created", log.InfoLevel, "The record of a shard has been created.")
	WitnessMajorityLost = register(1108, "witness_majority_lost", log.WarnLevel, "A majority of the witnesses of a shard is proven to have terminated; new witnesses have been written to the record.")
	InstanceProvenGone  = register(1109, "instance_proven_gone", log.WarnLevel, "An incarnation of an instance is proven to have terminated.")
	ShardRecordFailed   = register(1110, "shard_record_failed", log.WarnLevel, "The record of a shard could not be read or written; the operation is retried.")
)
