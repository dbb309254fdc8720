package shardrecord

import (
	"encoding/json"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// encode returns the stored form of a record.
func encode(r Record) ([]byte, error) {
	wire := wireRecord{
		Epoch:          r.Config.Epoch,
		Witnesses:      encodeMembers(r.Config.Witnesses),
		Sequence:       r.Sequence,
		WriteID:        r.WriteID,
		RecentWriteIDs: r.RecentWriteIDs,
		Assignment:     r.Assignment,
	}
	for _, set := range r.Config.Previous {
		wire.PreviousWitnesses = append(wire.PreviousWitnesses, encodeMembers(set))
	}
	data, err := json.Marshal(wire)
	return data, errors.Wrap(err, "encode the shard record; its assignment must be valid JSON")
}

// decode parses the stored form of a record.
func decode(data []byte) (Record, error) {
	var wire wireRecord
	if err := json.Unmarshal(data, &wire); err != nil {
		return Record{}, errors.Wrap(err, "the shard record in the store is not valid; restore the value from the store's backup")
	}
	record := Record{
		Config:         authority.WitnessConfig{Epoch: wire.Epoch, Witnesses: decodeMembers(wire.Witnesses)},
		Sequence:       wire.Sequence,
		WriteID:        wire.WriteID,
		RecentWriteIDs: wire.RecentWriteIDs,
		Assignment:     wire.Assignment,
	}
	for _, set := range wire.PreviousWitnesses {
		record.Config.Previous = append(record.Config.Previous, decodeMembers(set))
	}
	return record, nil
}

func encodeMembers(members []authority.Member) []wireMember {
	wire := make([]wireMember, 0, len(members))
	for _, m := range members {
		wire = append(wire, wireMember{m.Instance.Name, m.Instance.Incarnation, m.Address, m.Domain})
	}
	return wire
}

func decodeMembers(wire []wireMember) []authority.Member {
	var members []authority.Member
	for _, w := range wire {
		instance := authority.Instance{Name: w.Name, Incarnation: w.Incarnation}
		members = append(members, authority.Member{Instance: instance, Address: w.Address, Domain: w.Domain})
	}
	return members
}
