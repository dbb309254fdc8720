package membership

import (
	"slices"
	"strings"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// View is an immutable snapshot of the presumed state of all other instances.
type View struct {
	// Entries are ordered by name.
	Entries []Entry
}

// Find returns the entry of the instance with this name.
func (v *View) Find(name string) (Entry, bool) {
	i, found := slices.BinarySearchFunc(v.Entries, name, func(e Entry, name string) int {
		return strings.Compare(e.Member.Instance.Name, name)
	})
	if !found {
		return Entry{}, false
	}
	return v.Entries[i], true
}

// ReachableMembers returns the live and leaving members, which respond or are expected to.
// Peers to exchange with are chosen from them.
func (v *View) ReachableMembers() []authority.Member {
	var members []authority.Member
	for _, e := range v.Entries {
		if e.State == Live || e.State == Leaving {
			members = append(members, e.Member)
		}
	}
	return members
}

// peers returns the entries in the form that package authority uses.
func (v *View) peers() []authority.Peer {
	peers := make([]authority.Peer, len(v.Entries))
	for i, e := range v.Entries {
		peers[i] = authority.Peer{
			Member:        e.Member,
			Live:          e.State == Live,
			Leaving:       e.State == Leaving,
			LiveChangedAt: e.ChangedAt,
		}
	}
	return peers
}
