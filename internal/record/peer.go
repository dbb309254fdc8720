package record

// peer is one mirror as the control goroutine sees it.
type peer struct {
	sender *sender
	state  peerState
	// proposed reports that a set with this peer may be known to a witness.
	proposed bool
}
