package publish

import "time"

const (
	// callTimeout bounds one exchange. Between domains a round trip takes 3 ms;
	// the rest is for a settings value of 1 MB.
	callTimeout = time.Second
	// startInterval is the interval of exchanges until settings are in effect.
	startInterval = 250 * time.Millisecond
	// startPatience is how long a starting instance whose listed peers do not
	// answer waits before it reads the store: a peer that is reached later could
	// have a newer version than a restored store.
	startPatience = 3 * time.Second
	// startReadPause is the shortest pause between reads of the store by a starting instance.
	startReadPause = 2 * time.Second
	// startPeers is how many peers a starting instance asks in a round.
	startPeers = 3
	// intervalJitter is the share by which the interval of exchanges varies, so
	// that instances that start together do not call together.
	intervalJitter = 0.1

	// watcherTTL is the lease of the watcher of a failure domain.
	watcherTTL = 3 * time.Second
	// watcherRenewal leaves two further attempts before the lease ends.
	watcherRenewal = time.Second
	// attemptTime is the mean time between two attempts of all instances of a
	// failure domain together to become its watcher. Each waits longer the more
	// there are, so that the calls do not grow with the fleet.
	attemptTime = time.Second
	// watchTime bounds one watch. A restored store has lower revisions, for which a
	// watch waits in vain; the read after it finds them.
	watchTime = 10 * time.Second
	// storeTimeout bounds other calls to the store, which responds in milliseconds.
	storeTimeout = 2 * time.Second
	// storePause is the mean pause after a failed call to the store.
	storePause = 500 * time.Millisecond
	// confirmPause is the time between the two reads that confirm an older store.
	confirmPause = time.Second
)
