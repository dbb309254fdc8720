package router

import (
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/membership"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// contacts connects the membership with the exchange and the record copies.
type contacts struct {
	tracker *membership.Tracker
}

// MessageReceived implements publish.Observer.
func (c *contacts) MessageReceived(from authority.Instance, domain, address string, leaving bool) {
	kind := membership.Responded
	if leaving {
		kind = membership.ReportedLeaving
	}
	c.tracker.Report(membership.Observation{Kind: kind, Instance: from, Address: address, Domain: domain})
}

// CallFailed implements publish.Observer.
func (c *contacts) CallFailed(address string) {
	for _, e := range c.tracker.View().Entries {
		if e.Member.Address == address {
			c.tracker.Report(membership.Observation{Kind: membership.NoResponse, Instance: e.Member.Instance})
		}
	}
}

// Peers implements publish.PeerList.
func (c *contacts) Peers() []exchange.Peer {
	members := c.tracker.View().ReachableMembers()
	peers := make([]exchange.Peer, 0, len(members))
	for _, m := range members {
		peers = append(peers, exchange.Peer{Name: m.Instance.Name, Domain: m.Domain, Address: m.Address})
	}
	return peers
}

// Address implements peer.Addresses.
func (c *contacts) Address(i authority.Instance) (string, bool) {
	found, known := c.tracker.View().Find(i.Name)
	if !known || found.Member.Instance != i {
		return "", false
	}
	return found.Member.Address, true
}
