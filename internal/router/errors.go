package router

import "github.com/pkg/errors"

// ErrNoSettings means that the instance has not received a version of the settings from
// the store or a peer yet.
var ErrNoSettings = errors.New("no settings are in effect yet; apply a settings tree with peridotmoorctl apply, or wait until the store or a peer responds")

// ErrStopping means that a planned stop of the instance is in progress.
var ErrStopping = errors.New("the instance is stopping; send requests to another one")

// errOutdatedReport means that a later report of the same holder has already arrived.
var errOutdatedReport = errors.New("a later report of the holder has arrived before this one; send the current state again")

// ErrDomainOutOfService means that operators have taken the failure domain out of service.
var ErrDomainOutOfService = errors.New("the failure domain of the instance is out of service; send requests to another one, or set state = in")
