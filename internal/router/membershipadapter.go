package router

import (
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/membership"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// membershipAdapter reports the results of exchanges with other instances to the
// membership tracker, and finds peers and their addresses in it.
type membershipAdapter struct {
	tracker *membership.Tracker
}

// MessageReceived implements publish.Observer.
func (a *membershipAdapter) MessageReceived(from authority.Instance, domain, address string, leaving bool) {
	kind := membership.Responded
	if leaving {
		kind = membership.ReportedLeaving
	}
	a.tracker.Report(membership.Observation{Kind: kind, Instance: from, Address: address, Domain: domain})
}

// CallFailed implements publish.Observer.
func (a *membershipAdapter) CallFailed(address string) {
	for _, e := range a.tracker.View().Entries {
		if e.Member.Address == address {
			a.tracker.Report(membership.Observation{Kind: membership.NoResponse, Instance: e.Member.Instance})
		}
	}
}

// Peers implements publish.PeerList.
func (a *membershipAdapter) Peers() []exchange.Peer {
	members := a.tracker.View().ReachableMembers()
	peers := make([]exchange.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, exchange.Peer{Name: m.Instance.Name, Domain: m.Domain, Address: m.Address})
	}
	return peers
}

// Address implements peer.AddressResolver.
func (a *membershipAdapter) Address(i authority.Instance) (string, bool) {
	found, known := a.tracker.View().Find(i.Name)
	if !known || found.Member.Instance != i {
		return "", false
	}
	return found.Member.Address, true
}
