// Package authority elects the holder of each shard. Witnesses grant
// time-limited promises, and the instance with promises from a majority of them
// holds the shard until its tenure expires.
package authority

import (
	"cmp"
	"fmt"
)

// Token is the fencing token of orders to backend servers and of copies of
// request records. Tokens of one shard are ordered by epoch, then ballot.
type Token struct {
	// Epoch increases with each change of the witnesses in the shard record in
	// the store.
	Epoch uint64
	// Ballot increases with each takeover within an epoch.
	Ballot uint64
}

// Compare returns -1, 0 or 1 as t is lower than, equal to or higher than other.
func (t Token) Compare(other Token) int {
	if c := cmp.Compare(t.Epoch, other.Epoch); c != 0 {
		return c
	}
	return cmp.Compare(t.Ballot, other.Ballot)
}

// Less reports whether t is lower than other.
func (t Token) Less(other Token) bool {
	return t.Compare(other) < 0
}

// String formats the token as epoch.ballot.
func (t Token) String() string {
	return fmt.Sprintf("%d.%d", t.Epoch, t.Ballot)
}
