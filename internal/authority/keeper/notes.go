package keeper

import (
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/key"
)

// noteEvents gives the event of each kind of note.
var noteEvents = map[authority.NoteKind]events.Event{
	authority.NoteTaken:            events.ShardTaken,
	authority.NoteTokenRaised:      events.ShardTokenRaised,
	authority.NoteLost:             events.ShardLost,
	authority.NoteReleased:         events.ShardReleased,
	authority.NoteNoMajority:       events.ShardNoMajority,
	authority.NoteWitnessesChanged: events.WitnessesChanged,
	authority.NoteWitnessesSettled: events.WitnessesSettled,
	authority.NoteRecordCreated:    events.ShardRecordCreated,
	authority.NoteMajorityLost:     events.WitnessMajorityLost,
	authority.NoteProvenGone:       events.InstanceProvenGone,
}

func (k *Keeper) emit(note authority.Note) {
	if note.Kind == authority.NoteProvenGone {
		k.options.Log.Emit(noteEvents[note.Kind], "instance", note.Other.String())
		return
	}
	k.options.Log.Emit(noteEvents[note.Kind], "shard", note.Shard.String(), "token", note.Token.String())
}

func (k *Keeper) emitRecordFailure(shard key.ShardID, err error) {
	k.options.Log.Emit(events.ShardRecordFailed, "shard", shard.String(), "error", err.Error())
}
