package record

import "peridotmoor.org/peridotmoor/internal/authority"

// copyTargets is the immutable list of mirrors that a record is copied to.
type copyTargets struct {
	// changed is closed when a newer list has replaced this one.
	changed chan struct{}
	senders []*sender
	// members is the mirror set that a majority of the witnesses has acknowledged.
	members []authority.Instance
	// err, if not nil, refuses all requests: the holder was superseded or has stopped.
	err error
}
