package httpbackend

import (
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

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

// ParseToken reads the form epoch.ballot.
func ParseToken(text string) (authority.Token, error) {
	epoch, ballot, found := strings.Cut(text, ".")
	e, errEpoch := strconv.ParseUint(epoch, 10, 64)
	b, errBallot := strconv.ParseUint(ballot, 10, 64)
	if !found || errEpoch != nil || errBallot != nil {
		return authority.Token{}, errors.Errorf("token %q is not of the form epoch.ballot", text)
	}
	return authority.Token{Epoch: e, Ballot: b}, nil
}

// GrantCall is the body of a grant. Bounds of ranges are hexadecimal; an end of
// 0 stands for 2^64. The expiry is on the server's clock.
type GrantCall struct {
	OrderCall
	Ranges   []RangeCall `json:"ranges"`
	ExpiryNS int64       `json:"expiry_ns"`
	Sequence uint64      `json:"sequence,omitempty"`
}

// RangeCall is a half-open range of hashes.
type RangeCall struct {
	Start string `json:"start"`
	End   string `json:"end"`
}

// GrantCallOf encodes a grant.
func GrantCallOf(grant backend.Grant) GrantCall {
	call := GrantCall{
		OrderCall: OrderCallOf(grant.Order),
		Ranges:    []RangeCall{},
		ExpiryNS:  int64(grant.Expiry),
		Sequence:  grant.Sequence,
	}
	for _, r := range grant.Ranges {
		call.Ranges = append(call.Ranges, RangeCall{Start: hex(r.Start), End: hex(r.End)})
	}
	return call
}

// Decode reads the grant.
func (c GrantCall) Decode() (backend.Grant, error) {
	order, err := c.OrderCall.Decode()
	if err != nil {
		return backend.Grant{}, err
	}
	grant := backend.Grant{Order: order, Expiry: time.Duration(c.ExpiryNS), Sequence: c.Sequence}
	for _, r := range c.Ranges {
		start, errStart := strconv.ParseUint(r.Start, 16, 64)
		end, errEnd := strconv.ParseUint(r.End, 16, 64)
		if errStart != nil || errEnd != nil {
			return backend.Grant{}, errors.Errorf("range %q to %q is not hexadecimal", r.Start, r.End)
		}
		grant.Ranges = append(grant.Ranges, key.Range{Start: key.Hash(start), End: key.Hash(end)})
	}
	return grant, nil
}

func hex(h key.Hash) string {
	return strconv.FormatUint(uint64(h), 16)
}

// GrantReply is the answer to a grant.
type GrantReply struct {
	ClockNS     int64  `json:"clock_ns"`
	Incarnation string `json:"incarnation"`
	Highest     string `json:"highest"`
	Running     int    `json:"running"`
	Leaving     bool   `json:"leaving"`
}

// Decode reads the answer.
func (r GrantReply) Decode() (backend.GrantAnswer, error) {
	highest, err := ParseToken(r.Highest)
	return backend.GrantAnswer{
		Clock:       time.Duration(r.ClockNS),
		Incarnation: r.Incarnation,
		Highest:     highest,
		Running:     r.Running,
		Leaving:     r.Leaving,
	}, err
}

// HealthReply is the answer of the health endpoint.
type HealthReply struct {
	Accepting   bool   `json:"accepting"`
	Leaving     bool   `json:"leaving"`
	Incarnation string `json:"incarnation"`
}

// LoadReply is the answer of the load endpoint.
type LoadReply struct {
	Utilization float64 `json:"utilization"`
	Running     int     `json:"running"`
}
