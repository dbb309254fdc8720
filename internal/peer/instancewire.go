package peer

import (
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
)

func instanceToWire(i authority.Instance) *peerpb.Instance {
	return &peerpb.Instance{Name: i.Name, Incarnation: i.Incarnation}
}

func instanceFromWire(wire *peerpb.Instance) authority.Instance {
	return authority.Instance{Name: wire.GetName(), Incarnation: wire.GetIncarnation()}
}

func instancesToWire(list []authority.Instance) []*peerpb.Instance {
	wire := make([]*peerpb.Instance, 0, len(list))
	for _, i := range list {
		wire = append(wire, instanceToWire(i))
	}
	return wire
}

func instancesFromWire(wire []*peerpb.Instance) []authority.Instance {
	list := make([]authority.Instance, 0, len(wire))
	for _, w := range wire {
		list = append(list, instanceFromWire(w))
	}
	return list
}

func tokenToWire(t authority.Token) *peerpb.Token {
	return &peerpb.Token{Epoch: t.Epoch, Ballot: t.Ballot}
}

func tokenFromWire(wire *peerpb.Token) authority.Token {
	return authority.Token{Epoch: wire.GetEpoch(), Ballot: wire.GetBallot()}
}
