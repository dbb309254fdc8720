package holder

import (
	"context"
	"math/rand/v2"
	"slices"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// maxPeers is how many other instances each one knows: enough that one of them lives after
// the loss of a failure domain, and a message of less than 100 bytes.
const maxPeers = 3

// sendPeers tells followers the other instances that they can ask for the next holder.
func (c *Coordinator) sendPeers() {
	for f, addresses := range c.updatePeers() {
		f.Send(&linkpb.Down{Peers: addresses})
	}
}

// updatePeers replaces the peers of followers that have left, and returns the addresses of
// all peers of each follower for which that has changed something. Followers of other failure
// domains go first, as a domain may be lost or cut off as a whole.
func (c *Coordinator) updatePeers() map[*link.Follower][]string {
	changed := map[*link.Follower][]string{}
	for f := range c.followers {
		kept := slices.DeleteFunc(slices.Clone(f.Peers), func(peer *link.Follower) bool { return !c.followers[peer] })
		if len(kept) == len(f.Peers) && len(kept) >= min(maxPeers, len(c.followers)-1) {
			continue
		}
		f.Peers = c.choosePeers(f, kept)
		for _, peer := range f.Peers {
			changed[f] = append(changed[f], peer.Address)
		}
	}
	return changed
}

func (c *Coordinator) choosePeers(f *link.Follower, chosen []*link.Follower) []*link.Follower {
	var near, far []*link.Follower
	for other := range c.followers { // in random order
		switch {
		case other == f || other.Address == "" || slices.Contains(chosen, other):
		case other.Domain == f.Domain:
			near = append(near, other)
		default:
			far = append(far, other)
		}
	}
	for _, other := range append(far, near...) {
		if len(chosen) == maxPeers {
			break
		}
		chosen = append(chosen, other)
	}
	return chosen
}

// rememberPeers keeps the addresses of other instances that a message of the holder names.
func (e *Elector) rememberPeers(down *linkpb.Down) {
	if len(down.Peers) > 0 {
		e.peers.Store(&down.Peers)
	}
}

// Holder returns the identity of the holder that this instance is or follows, as in its
// key, or nil.
func (e *Elector) Holder() []byte {
	holder := e.current.Load()
	if holder == nil {
		return nil
	}
	identity, err := holder.encode()
	if err != nil {
		e.log.Emit(events.HolderLost, "detail", err.Error())
		return nil
	}
	return identity
}

// askPeers asks the other instances that this one knows for a holder. It is used while the
// store, which names the holder, cannot be reached. The holder that this instance has lost
// is returned only if no other one is named: the link to it may have been reset.
func (e *Elector) askPeers(ctx context.Context, lost Identity) (Identity, bool) {
	peers := e.peers.Load()
	if peers == nil {
		return Identity{}, false
	}
	stillFollowed := false
	for _, i := range rand.Perm(len(*peers)) {
		text, err := link.AskForHolder(ctx, (*peers)[i])
		if err != nil || len(text) == 0 {
			continue // it may have ended as well
		}
		holder, err := decodeIdentity(text)
		if err != nil {
			e.log.Emit(events.HolderLost, "detail", err.Error())
			continue
		}
		if holder.sameProcess(e.self) {
			continue
		}
		if holder != lost {
			return holder, true
		}
		stillFollowed = true
	}
	return lost, stillFollowed
}
