package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// publish sends changed facts, and heartbeats.
func (a *Actor) publish(now time.Time) {
	if version := a.table.Version(); version != a.published && now.Sub(a.publishedAt) >= ownersPublishInterval {
		a.published, a.publishedAt = version, now
		owned := map[string][]owners.View{}
		for _, service := range a.table.Services() {
			owned[service] = a.table.Spans(service)
		}
		a.board.Owned(owned, a.epoch)
	}
	beat := now.Sub(a.beatAt) >= link.HeartbeatInterval
	if beat {
		a.beatAt = now
	}
	view := a.board.View()
	encoded := map[link.SentSequences]*linkpb.Facts{} // most followers have got the same
	for f := range a.followers {
		if !beat && f.Sent == sequences(view) {
			continue
		}
		if encoded[f.Sent] == nil {
			encoded[f.Sent] = a.encode(view, f.Sent, now)
		}
		f.Send(&linkpb.Down{Facts: []*linkpb.Facts{encoded[f.Sent]}})
		f.Sent = sequences(view)
	}
	a.told = view
}

func sequences(v *facts.View) link.SentSequences {
	return link.SentSequences{Orders: v.OrdersSequence, Listing: v.ListingSequence, Owned: v.OwnedSequence}
}

// encode returns what a follower must be told that has got sent.
func (a *Actor) encode(view *facts.View, sent link.SentSequences, now time.Time) *linkpb.Facts {
	message := link.EncodeFacts(view, sent, a.told, now)
	message.AgeUs = link.AgeMicros(a.board, now)
	message.Instances = int32(len(a.followers))
	message.Strongest = a.strongest()
	return message
}
