package link

import "peridotmoor.org/peridotmoor/internal/link/linkpb"

// transfer is the state of a join reply that is sent in parts. The next part is sent once the
// instance has acknowledged the one before, so that a slow link has at most one of them under
// way and decisions wait for no more.
type transfer struct {
	reply       *JoinReply
	sent, acked int
}

// BeginReply makes the link send the first message of the reply. The store was read for it at
// the given time by the clock of the follower.
func (f *Follower) BeginReply(r *JoinReply, readUs int64, sent SentSequences) {
	if r.Parts() > 0 {
		f.transfer = &transfer{reply: r}
		readUs = 0 // what the instance has is not complete
	}
	f.Tell(r.first, readUs, Told{Base: r.base, Sent: sent})
}

// Transferring reports whether parts of a reply have not arrived at the instance yet.
func (f *Follower) Transferring() bool {
	return f.transfer != nil
}

// TransferBase returns the sequences of the listing and the owners that are being transferred.
func (f *Follower) TransferBase() (told Told) {
	base := f.transfer.reply.base
	return Told{Base: base, Sent: SentSequences{Listing: base.ListingSequence, OwnedRanges: base.OwnedRangesSequence}}
}

// NextPartSize returns the size of the part that can be sent now, or 0 if none can.
func (f *Follower) NextPartSize() int {
	t := f.transfer
	if t == nil || t.sent == t.reply.Parts() || t.sent > t.acked || f.pending.Load() != nil {
		return 0
	}
	return t.reply.PartSize(t.sent)
}

// SendNextPart sends the part whose size NextPartSize has returned.
func (f *Follower) SendNextPart() {
	part := f.transfer.reply.parts[f.transfer.sent]
	f.transfer.sent++
	f.Send(&linkpb.Down{Facts: []*linkpb.Facts{part}})
}

// AcknowledgeParts records how many parts have arrived. It returns true if these were all.
func (f *Follower) AcknowledgeParts(parts uint32) bool {
	if f.transfer == nil || parts == 0 {
		return false
	}
	f.transfer.acked = min(int(parts), f.transfer.sent)
	if f.transfer.acked < f.transfer.reply.Parts() {
		return false
	}
	f.transfer = nil
	return true
}
