package backend

import "time"

// shedding is how a server turns away part of its requests.
type shedding struct {
	// share is the part of the requests that is turned away, up to 1.
	share float64
	// pause is the time for which the server asks not to be sent requests.
	pause time.Duration
}
