// Package authority decides which instance holds a shard: witnesses give
// time-bound promises, a majority of them makes a holder.
package authority

import (
	"cmp"
	"fmt"
)

// Token fences orders to backend servers and copies of request records. Tokens
// of one shard are ordered by epoch, then ballot.
type Token struct {
	// Epoch is raised by each change of the shard record's witnesses in the store.
	Epoch uint64
	// Ballot is raised by each takeover within an epoch.
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
