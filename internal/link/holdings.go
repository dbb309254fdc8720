package link

import (
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/usagecap"
)

// EncodeHoldings converts what an instance holds of the usage caps of teams.
func EncodeHoldings(holdings map[string]usagecap.Holding) []*linkpb.Allowed {
	var out []*linkpb.Allowed
	for team, held := range holdings {
		out = append(out, &linkpb.Allowed{Team: team, Part: held.Part, Tokens: held.Tokens})
	}
	return out
}

// DecodeHoldings converts what another instance holds. The ledger checks the values.
func DecodeHoldings(allowed []*linkpb.Allowed) map[string]usagecap.Holding {
	if len(allowed) == 0 {
		return nil
	}
	out := make(map[string]usagecap.Holding, len(allowed))
	for _, a := range allowed {
		out[a.Team] = usagecap.Holding{Part: a.Part, Tokens: a.Tokens}
	}
	return out
}
