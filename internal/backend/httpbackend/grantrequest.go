package httpbackend

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/key"
)

// GrantRequest is the JSON body of a grant. Bounds of ranges are hexadecimal; an
// end of 0 stands for 2^64. The expiry refers to the server's clock.
type GrantRequest struct {
	OrderRequest
	Ranges   []HashRange `json:"ranges"`
	ExpiryNS int64       `json:"expiry_ns"`
	Sequence uint64      `json:"sequence,omitempty"`
	// ServerIncarnation identifies the server process whose clock the expiry refers to.
	ServerIncarnation string `json:"server_incarnation,omitempty"`
}

// NewGrantRequest encodes a grant.
func NewGrantRequest(grant backend.Grant) GrantRequest {
	call := GrantRequest{
		OrderRequest: NewOrderRequest(grant.Order),
		Ranges:       []HashRange{},
		ExpiryNS:     int64(grant.Expiry),
		Sequence:     grant.Sequence,

		ServerIncarnation: grant.Incarnation,
	}
	for _, r := range grant.Ranges {
		call.Ranges = append(call.Ranges, HashRange{Start: hex(r.Start), End: hex(r.End)})
	}
	return call
}

// Decode parses the grant.
func (c GrantRequest) Decode() (backend.Grant, error) {
	order, err := c.OrderRequest.Decode()
	if err != nil {
		return backend.Grant{}, err
	}
	grant := backend.Grant{Order: order, Expiry: time.Duration(c.ExpiryNS), Sequence: c.Sequence, Incarnation: c.ServerIncarnation}
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
