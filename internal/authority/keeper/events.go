package keeper

import (
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/key"
)

// logEvents gives the event of each kind of note.
var logEvents = map[authority.EventKind]events.Event{
	authority.EventShardTaken:               events.ShardTaken,
	authority.EventTokenRaised:              events.ShardTokenRaised,
	authority.EventShardLost:                events.ShardLost,
	authority.EventShardReleased:            events.ShardReleased,
	authority.EventNoMajority:               events.ShardNoMajority,
	authority.EventWitnessesChanged:         events.WitnessesChanged,
	authority.EventPreviousWitnessesCleared: events.WitnessesSettled,
	authority.EventRecordCreated:            events.ShardRecordCreated,
	authority.EventWitnessMajorityLost:      events.WitnessMajorityLost,
	authority.EventInstanceProvenGone:       events.InstanceProvenGone,
}

func (k *Keeper) logEvent(note authority.Event) {
	if note.Kind == authority.EventInstanceProvenGone {
		k.options.Log.Emit(logEvents[note.Kind], "instance", note.Other.String())
		return
	}
	k.options.Log.Emit(logEvents[note.Kind], "shard", note.Shard.String(), "token", note.Token.String())
}

func (k *Keeper) logRecordFailure(shard key.ShardID, err error) {
	k.options.Log.Emit(events.ShardRecordFailed, "shard", shard.String(), "error", err.Error())
}
