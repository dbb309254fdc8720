package holder

import (
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// publish sends the followers facts that have changed, and a heartbeat when one is due.
func (c *Coordinator) publish(now time.Time) {
	if version := c.table.Version(); version != c.publishedVersion && now.Sub(c.publishedAt) >= ownersPublishInterval {
		c.publishedVersion, c.publishedAt = version, now
		owned := map[string][]owners.OwnedRange{}
		for _, service := range c.table.Services() {
			owned[service] = c.table.OwnedRanges(service)
		}
		c.registry.UpdateOwners(owned, c.epoch)
	}
	heartbeatDue := now.Sub(c.heartbeatAt) >= link.HeartbeatInterval
	if heartbeatDue {
		c.heartbeatAt = now
		c.sendPeers()
		c.askForProofs(now)
		c.announceLosses(now)
	}
	snapshot, readAt := c.registry.ReadSnapshot()
	sequences := sequencesOf(snapshot)
	encoded := map[link.Told]*link.SharedFacts{} // most followers have been told the same
	for f := range c.followers {
		if heartbeatDue {
			f.Flush()
		} else if f.IsTold(sequences) {
			continue
		}
		told, ok := f.Told()
		if !ok {
			continue
		}
		if encoded[told] == nil {
			encoded[told] = link.NewSharedFacts(c.encodeFacts(snapshot, told, now))
		}
		f.Tell(encoded[told], f.EncodeTime(readAt), link.Told{Base: snapshot, Sent: sequences})
	}
}

// announceLosses tells the followers of the requests that are refused, so that any of them
// can tell the next holder, and of losses that are excused.
func (c *Coordinator) announceLosses(now time.Time) {
	losses := link.EncodeLosses(c.lossAnnouncer.Next(c.registry.Crashes(), now, maxAnnouncedContents), now)
	if len(losses) == 0 {
		return
	}
	for f := range c.followers {
		f.Send(&linkpb.Down{Losses: slices.Clip(losses)}) // links append to it when they merge messages
	}
}

func sequencesOf(snapshot *facts.Snapshot) link.SentSequences {
	return link.SentSequences{OperatorSettings: snapshot.OperatorSettingsSequence, Listing: snapshot.ListingSequence, OwnedRanges: snapshot.OwnedRangesSequence, Backpressure: snapshot.BackpressureSequence}
}

// encodeJoin returns the message that brings a follower up to date that has told what it
// knows, or nil.
func (c *Coordinator) encodeJoin(snapshot *facts.Snapshot, known *linkpb.Known, now time.Time) *linkpb.Facts {
	message := link.NewResumption(snapshot).Encode(known, now)
	message.Instances = int32(len(c.followers))
	message.Strongest = c.maxCandidateShare()
	return message
}

// encodeFacts returns the message that brings a follower up to date that has been told the
// given facts.
func (c *Coordinator) encodeFacts(snapshot *facts.Snapshot, told link.Told, now time.Time) *linkpb.Facts {
	message := link.EncodeFacts(snapshot, told.Sent, told.Base, now)
	message.Instances = int32(len(c.followers))
	message.Strongest = c.maxCandidateShare()
	return message
}
