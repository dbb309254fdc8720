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
	encoded := map[factsGroup]*link.SharedFacts{} // most followers have been told the same
	for f := range c.followers {
		next := link.Told{Base: snapshot, Sent: sequencesOf(snapshot)}
		if f.Transferring() {
			next = next.Without(f.TransferBase())
		}
		f.Flush()
		if !heartbeatDue && f.IsTold(next.Sent) {
			continue
		}
		told, ok := f.Told()
		if !ok {
			continue
		}
		group := factsGroup{told, f.Transferring(), f.Known.GetTakesParts()}
		if encoded[group] == nil {
			encoded[group] = link.NewSharedFacts(c.encodeFacts(snapshot, group, now))
		}
		readUs := f.EncodeTime(readAt)
		if group.transferring {
			readUs = 0 // the instance does not have the listing of that reading yet
		}
		f.Tell(encoded[group], readUs, next)
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

// encodeFacts returns the message that brings the followers of a group up to date.
func (c *Coordinator) encodeFacts(snapshot *facts.Snapshot, group factsGroup, now time.Time) *linkpb.Facts {
	sent := group.told.Sent
	if group.transferring {
		sent.Listing, sent.OwnedRanges = snapshot.ListingSequence, snapshot.OwnedRangesSequence
	}
	message := link.EncodeFacts(snapshot, sent, group.told.Base, now)
	if group.transferring {
		message.ListingRevision = link.EncodeRevision(group.told.Base.ListingVersion, message.Era)
	}
	message.Instances = int32(len(c.followers))
	message.Strongest = c.maxCandidateShare()
	if group.unpacks && !group.transferring {
		message = link.PackLarge(message)
	}
	return message
}
