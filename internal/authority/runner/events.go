package runner

import (
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/key"
)

// logEvents maps each kind of node event to its log event.
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

func (r *Runner) logEvent(event authority.Event) {
	if event.Kind == authority.EventInstanceProvenGone {
		r.options.Log.Emit(logEvents[event.Kind], "instance", event.Other.String())
		return
	}
	r.options.Log.Emit(logEvents[event.Kind], "shard", event.Shard.String(), "token", event.Token.String())
}

func (r *Runner) logRecordFailure(shard key.ShardID, err error) {
	r.options.Log.Emit(events.ShardRecordFailed, "shard", shard.String(), "error", err.Error())
}
