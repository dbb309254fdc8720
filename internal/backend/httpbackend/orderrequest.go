package httpbackend

import (
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/key"
)

// OrderRequest is the JSON body of a drain. It is also embedded in GrantRequest.
type OrderRequest struct {
	Shard       string `json:"shard"`
	Token       string `json:"token"`
	Holder      string `json:"holder"`
	Incarnation string `json:"holder_incarnation"`
}

// NewOrderRequest encodes an order.
func NewOrderRequest(order backend.Order) OrderRequest {
	return OrderRequest{
		Shard:       order.Shard.String(),
		Token:       order.Token.String(),
		Holder:      order.Holder.Name,
		Incarnation: order.Holder.Incarnation,
	}
}

// Decode parses the order.
func (c OrderRequest) Decode() (backend.Order, error) {
	shard, err := key.ParseShardID(c.Shard)
	if err != nil {
		return backend.Order{}, err
	}
	token, err := ParseToken(c.Token)
	holder := authority.Instance{Name: c.Holder, Incarnation: c.Incarnation}
	return backend.Order{Shard: shard, Token: token, Holder: holder}, err
}
