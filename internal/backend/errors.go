package backend

import "github.com/pkg/errors"

// ErrHigherToken means that the server has accepted an order of a holder with a
// higher token. The caller must give up the shard.
var ErrHigherToken = errors.New("backend: the server follows a holder with a higher token; give up the shard")
