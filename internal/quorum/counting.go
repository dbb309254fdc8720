package quorum

import "time"

// Counting returns the names of the followers that provably follow the holder, and no
// successor, at now.
func Counting(now, leaseConfirmedAt time.Time, followers []Follower) map[string]bool {
	names := map[string]bool{}
	for _, f := range followers {
		if f.counts(now, leaseConfirmedAt) {
			names[f.Name] = true
		}
	}
	return names
}
