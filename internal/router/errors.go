package router

import "github.com/pkg/errors"

// ErrNoSettings means that neither the store nor a peer has given the instance
// a version of the settings yet.
var ErrNoSettings = errors.New("no settings are in effect yet; apply a settings tree with peridotmoorctl apply, or wait until the store or a peer answers")

// ErrStopping means that the instance is in a planned stop.
var ErrStopping = errors.New("the instance is stopping; send requests to another one")

// errOutdatedReport means that a later report of the same holder has arrived before.
var errOutdatedReport = errors.New("a later report of the holder has arrived before this one; send the present state again")

// ErrDomainOut means that operators have taken the failure domain out.
var ErrDomainOut = errors.New("the failure domain of the instance is out; send requests to another one, or set state = in")
