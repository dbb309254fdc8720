package soak

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/soak/check"
)

const (
	// minCopyAge is the least age of a copy when the store goes down.
	minCopyAge = time.Second
	// rewriteDelay is the time after which operators and servers have written again what the
	// store has lost.
	rewriteDelay = 500 * time.Millisecond
	// lostHolderWait is how long a new holder grants no keys if the store has lost what the
	// last one wrote, which has ended as well: as after any unknown holder.
	lostHolderWait = 22 * time.Second
)

// rewrittenPrefixes are those of the keys that operators and servers write.
var rewrittenPrefixes = []string{"op/", "servers/"}

// recoveryTime returns how long after the last fault of a schedule everything must be served.
func recoveryTime(s schedule) time.Duration {
	for _, e := range s.events {
		if e.kind == eventStoreCopy {
			return lostHolderWait + check.RecoveryTime
		}
	}
	return check.RecoveryTime
}

// restoreStore takes a copy of the store, makes it unavailable a while later and brings it back
// from the copy. What instances have written since then is lost.
func (f *faults) restoreStore(e event) {
	kv := f.p.kv
	taken := kv.Store().Copy()
	time.Sleep(minCopyAge + e.pause)
	f.storeFault.Lock()
	defer f.storeFault.Unlock()
	defer f.p.impairments.Begin(check.Store)()
	kv.Store().Faults().SetUnavailable(true)
	time.Sleep(e.length)
	newest := kv.Store().Copy()
	kv.Restore(taken)
	kv.Store().Faults().SetUnavailable(false)
	f.p.note("the store is back in era %d", kv.Store().Era())
	time.Sleep(rewriteDelay)
	for _, prefix := range rewrittenPrefixes {
		kv.Store().WriteAgain(newest, prefix)
	}
}
