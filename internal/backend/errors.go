package backend

import "github.com/pkg/errors"

// ErrHigherToken means that the server has accepted an order with a higher token.
var ErrHigherToken = errors.New("backend: the server follows a holder with a higher token; give up the shard")
