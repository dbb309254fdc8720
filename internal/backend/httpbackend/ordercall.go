package httpbackend

import (
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/key"
)

// OrderCall is the body of a drain and part of a grant, in JSON.
type OrderCall struct {
	Shard       string `json:"shard"`
	Token       string `json:"token"`
	Holder      string `json:"holder"`
	Incarnation string `json:"holder_incarnation"`
}

// OrderCallOf encodes an order.
func OrderCallOf(order backend.Order) OrderCall {
	return OrderCall{
		Shard:       order.Shard.String(),
		Token:       order.Token.String(),
		Holder:      order.Holder.Name,
		Incarnation: order.Holder.Incarnation,
	}
}

// Decode reads the order.
func (c OrderCall) Decode() (backend.Order, error) {
	shard, err := key.ParseShardID(c.Shard)
	if err != nil {
		return backend.Order{}, err
	}
	token, err := ParseToken(c.Token)
	holder := authority.Instance{Name: c.Holder, Incarnation: c.Incarnation}
	return backend.Order{Shard: shard, Token: token, Holder: holder}, err
}
