package holder

import (
	"time"

	"google.golang.org/protobuf/proto"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

const (
	// transferRate bounds the bytes/s of listings over all links: a third of a link of 200
	// Mbit/s, so that the holder's orders and decisions have the remainder.
	transferRate  = 8 << 20
	transferBurst = 512 << 10
	// replyMaxAge is how long a reply is used for instances that join. Cold starts in it end
	// later by its age.
	replyMaxAge = 250 * time.Millisecond
)

// joins holds what instances that join are sent. It is used only by the event loop.
type joins struct {
	// resumption and replies are of the snapshot at madeAt; the keys are what instances have
	// told.
	resumption *link.Resumption
	replies    map[string]*link.JoinReply
	madeAt     time.Time
	// transferring holds the followers that get a listing in parts, in the order of their joins.
	transferring []*link.Follower
	pace         pace
}

// reply returns what an instance is sent that has told what it knows, or nil.
func (j *joins) reply(snapshot *facts.Snapshot, known *linkpb.Known, now time.Time, complete func(*linkpb.Facts)) (*link.JoinReply, error) {
	j.forgetReplies(now)
	if j.resumption == nil || j.resumption.Snapshot() != snapshot {
		j.resumption = link.NewResumption(snapshot)
		j.replies, j.madeAt = map[string]*link.JoinReply{}, now
	}
	key := "" // nil is encoded like an empty message, but its sender may be of an earlier version
	if known != nil {
		text, err := proto.Marshal(known)
		if err != nil {
			return nil, err
		}
		key = "known " + string(text)
	}
	if r := j.replies[key]; r != nil {
		return r, nil
	}
	whole := j.resumption.Encode(known, now)
	complete(whole)
	r, err := link.NewJoinReply(whole, snapshot, known.GetTakesParts())
	if err == nil {
		j.replies[key] = r
	}
	return r, err
}

// forgetReplies forgets replies that are too old to be used again.
func (j *joins) forgetReplies(now time.Time) {
	if j.resumption != nil && now.Sub(j.madeAt) > replyMaxAge {
		j.resumption, j.replies = nil, nil
	}
}

// sendParts sends the parts that are due, as far as the pace allows it.
func (j *joins) sendParts(now time.Time) {
	if len(j.transferring) == 0 {
		return
	}
	if j.pace.perSecond == 0 {
		j.pace.perSecond, j.pace.burst = transferRate, transferBurst
	}
	open := j.transferring[:0]
	for i, f := range j.transferring {
		if !f.Transferring() {
			continue
		}
		open = append(open, f)
		size := f.NextPartSize()
		if size == 0 {
			continue
		}
		if !j.pace.take(now, size) {
			open = append(open, j.transferring[i+1:]...)
			break
		}
		f.SendNextPart()
	}
	clear(j.transferring[len(open):])
	j.transferring = open
}

// leave forgets a follower.
func (j *joins) leave(f *link.Follower) {
	open := j.transferring[:0]
	for _, other := range j.transferring {
		if other != f {
			open = append(open, other)
		}
	}
	clear(j.transferring[len(open):])
	j.transferring = open
}

// sendJoinReply sends an instance that joins the facts that it does not have.
func (c *Coordinator) sendJoinReply(f *link.Follower, now time.Time) {
	snapshot, readAt := c.registry.ReadSnapshot()
	reply, err := c.joins.reply(snapshot, f.Known, now, func(whole *linkpb.Facts) {
		whole.Instances = int32(len(c.followers))
		whole.Strongest = c.maxCandidateShare()
	})
	if err != nil {
		c.log.Emit(events.FactsUnsendable, "follower", f.Instance, "detail", err.Error())
		f.Disconnect()
		return
	}
	f.BeginReply(reply, f.EncodeTime(readAt), sequencesOf(snapshot))
	if f.Transferring() {
		c.joins.transferring = append(c.joins.transferring, f)
	}
}

// partsArrived continues the transfer to a follower, which has told how many parts have arrived.
func (c *Coordinator) partsArrived(f *link.Follower, parts uint32, now time.Time) {
	if parts == 0 {
		return
	}
	if f.AcknowledgeParts(parts) {
		c.publish(now) // what has changed since the transfer began
	}
	c.joins.sendParts(now)
}
