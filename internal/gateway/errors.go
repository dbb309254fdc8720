package gateway

import "github.com/pkg/errors"

// ErrInstanceEnded is the cause with which the contexts of the calls are cancelled that are
// still in progress when a planned stop runs out of time.
var ErrInstanceEnded = errors.New("the instance ended before the request did; give it a longer grace period or the route a shorter timeout")
