package peer

import (
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
)

// configToWire maps nil, which makes no statement about the configuration, to nil.
func configToWire(c *authority.WitnessConfig) *peerpb.WitnessConfig {
	if c == nil {
		return nil
	}
	wire := &peerpb.WitnessConfig{Epoch: c.Epoch, Witnesses: membersToWire(c.Witnesses)}
	for _, set := range c.Previous {
		wire.Previous = append(wire.Previous, &peerpb.MemberSet{Members: membersToWire(set)})
	}
	return wire
}

func configFromWire(wire *peerpb.WitnessConfig) *authority.WitnessConfig {
	if wire == nil {
		return nil
	}
	c := &authority.WitnessConfig{Epoch: wire.Epoch, Witnesses: membersFromWire(wire.Witnesses)}
	for _, set := range wire.Previous {
		c.Previous = append(c.Previous, membersFromWire(set.Members))
	}
	return c
}

func membersToWire(members []authority.Member) []*peerpb.Member {
	wire := make([]*peerpb.Member, 0, len(members))
	for _, m := range members {
		wire = append(wire, &peerpb.Member{Instance: instanceToWire(m.Instance), Address: m.Address, Domain: m.Domain})
	}
	return wire
}

func membersFromWire(wire []*peerpb.Member) []authority.Member {
	members := make([]authority.Member, 0, len(wire))
	for _, w := range wire {
		members = append(members, authority.Member{Instance: instanceFromWire(w.Instance), Address: w.Address, Domain: w.Domain})
	}
	return members
}
