package backend

import "github.com/pkg/errors"

// ErrStale means that the server has accepted an order with a higher token.
var ErrStale = errors.New("backend: the server follows a holder with a higher token; give up the shard")
