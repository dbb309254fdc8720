package publish

import "time"

const (
	// callTimeout bounds one exchange. Between domains a round trip takes 3 ms;
	// the rest is for a settings value of 1 MB.
	callTimeout = time.Second
	// startupInterval is the interval of exchanges until settings are in effect.
	startupInterval = 250 * time.Millisecond
	// peerResponseTimeout is how long a starting instance whose listed peers do not
	// answer waits before it reads the store: a peer that is reached later could
	// have a newer version than a restored store.
	peerResponseTimeout = 3 * time.Second
	// minStoreReadInterval is the shortest pause between reads of the store by a starting instance.
	minStoreReadInterval = 2 * time.Second
	// startupPeers is how many peers a starting instance asks in a round.
	startupPeers = 3
	// intervalJitter is the share by which the interval of exchanges varies, so
	// that instances that start together do not call together.
	intervalJitter = 0.1

	// watcherLeaseTTL is the lease of the watcher of a failure domain.
	watcherLeaseTTL = 3 * time.Second
	// watcherRenewInterval leaves two further attempts before the lease ends.
	watcherRenewInterval = time.Second
	// meanAttemptInterval is the mean time between two attempts of all instances of a
	// failure domain together to become its watcher. Each waits longer the more
	// there are, so that the calls do not grow with the fleet.
	meanAttemptInterval = time.Second
	// watchTimeout bounds one watch. A restored store has lower revisions, for which a
	// watch waits in vain; the read after it finds them.
	watchTimeout = 10 * time.Second
	// storeTimeout bounds other calls to the store, which responds in milliseconds.
	storeTimeout = 2 * time.Second
	// meanStoreRetryDelay is the mean pause after a failed call to the store.
	meanStoreRetryDelay = 500 * time.Millisecond
	// confirmDelay is the time between the two reads that confirm an older store.
	confirmDelay = time.Second
)
