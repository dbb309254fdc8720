package record

// peer is one current or prospective mirror. The goroutine of the controller owns it.
type peer struct {
	sender *sender
	state  peerState
	// proposed reports that a witness may have acknowledged a set with this peer.
	proposed bool
}
