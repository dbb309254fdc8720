package shard

import (
	"fmt"
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
)

// checkSingleOwner records every sampled hash that two servers accept. The caller holds
// the lock.
func (tc *testCluster) checkSingleOwner() {
	for _, h := range tc.sampledHashes {
		owner := ""
		for _, s := range tc.servers {
			if !s.accepts(h) {
				continue
			}
			if owner != "" && len(tc.violations) < 5 {
				tc.violations = append(tc.violations, fmt.Sprintf("hash %016x is accepted by %s and %s", uint64(h), owner, s.name))
			}
			owner = s.name
		}
	}
}

// watchService checks every 2 milliseconds which hashes are served. Ownership is
// checked whenever a server handles a message, since no server accepts more at any
// other time.
func (tc *testCluster) watchService() {
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-tc.stop:
			return
		case <-ticker.C:
			tc.mu.Lock()
			tc.measureGaps()
			tc.mu.Unlock()
		}
	}
}

// measureGaps records since when each hash has not been served.
func (tc *testCluster) measureGaps() {
	for _, h := range tc.sampledHashes {
		if tc.servingServer(h) != "" {
			delete(tc.unservedSince, h)
			continue
		}
		since, known := tc.unservedSince[h]
		if !known {
			since = time.Now()
			tc.unservedSince[h] = since
		}
		tc.gaps[h] = max(tc.gaps[h], time.Since(since))
		tc.longestGap = max(tc.longestGap, tc.gaps[h])
	}
}

// servingServer returns the server that requests for h are sent to and that accepts
// them.
func (tc *testCluster) servingServer(h key.Hash) string {
	if tc.naiveMode {
		return tc.acceptingServer(h)
	}
	for _, instance := range tc.instances {
		view := instance.runtime.Views().Load()
		if view == nil || !view.Tenure.ValidAt(time.Now(), 0) {
			continue
		}
		viewRange := view.Find(h)
		if viewRange == nil || viewRange.Blocked != nil || viewRange.Owner == nil {
			continue
		}
		if s := viewRange.Owner.Server.(*fakeServer); s.resume == nil && s.accepts(h) {
			return s.name
		}
	}
	return ""
}

// acceptingServer returns a server that accepts h and is not frozen.
func (tc *testCluster) acceptingServer(h key.Hash) string {
	for _, s := range tc.servers {
		if s.resume == nil && s.accepts(h) {
			return s.name
		}
	}
	return ""
}

// ownerName returns the name of the server that serves h now, or an empty one.
func (tc *testCluster) ownerName(h key.Hash) string {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return tc.servingServer(h)
}

// ownerOf returns the server that serves h now, or nil.
func (tc *testCluster) ownerOf(h key.Hash) *fakeServer {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	name := tc.servingServer(h)
	for _, s := range tc.servers {
		if s.name == name {
			return s
		}
	}
	return nil
}

// waitUntilServed waits until the shard has been planned and is served, and discards
// earlier gaps.
func (tc *testCluster) waitUntilServed() {
	time.Sleep(1500 * time.Millisecond)
	tc.withLock(func() { tc.longestGap, tc.gaps = 0, map[key.Hash]time.Duration{} })
}

// resetGaps makes the time without service count from now.
func (tc *testCluster) resetGaps() {
	tc.withLock(func() { tc.unservedSince = map[key.Hash]time.Time{} })
}

// maxGap returns the longest time without service since waitUntilServed.
func (tc *testCluster) maxGap() time.Duration {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	return tc.longestGap
}
