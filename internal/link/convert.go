package link

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/placing"
	"peridotmoor.org/peridotmoor/internal/usagecap"
)

// EncodeAsk converts an attempt that is sent at now. Times become relative to now.
func EncodeAsk(a placing.Attempt, now time.Time) *linkpb.Ask {
	return &linkpb.Ask{
		Number:     a.AttemptID.Number,
		Service:    a.Service,
		Key:        int32(a.Key),
		Priority:   int32(a.Priority),
		Large:      a.Large,
		TargetUs:   a.SoftDeadline.Sub(now).Microseconds(),
		DeadlineUs: a.Deadline.Sub(now).Microseconds(),
		Avoid:      a.Tried,
		Mark:       a.ContentHash,
		Again:      a.Resubmitted,
		Team:       a.Team,
		Hedge:      a.Hedge,
	}
}

// DecodeAsk converts an attempt that arrived from an instance at now.
func DecodeAsk(a *linkpb.Ask, instance, domain string, now time.Time) placing.Attempt {
	return placing.Attempt{
		AttemptID:    placing.AttemptID{Instance: instance, Number: a.Number},
		Service:      a.Service,
		Key:          int(a.Key),
		Priority:     int(a.Priority),
		Domain:       domain,
		Large:        a.Large,
		SoftDeadline: now.Add(microseconds(a.TargetUs)),
		Deadline:     now.Add(microseconds(a.DeadlineUs)),
		Tried:        a.Avoid,
		ContentHash:  a.Mark,
		Resubmitted:  a.Again,
		Team:         a.Team,
		Hedge:        a.Hedge,
	}
}

// EncodeFinish converts the completion of an attempt for the given link.
func EncodeFinish(completion placing.Completion, l Link) *linkpb.Finish {
	return &linkpb.Finish{
		HeardUs:   l.EncodeTime(completion.HeardAt),
		Number:    completion.AttemptID.Number,
		Server:    completion.Server,
		Outcome:   uint32(completion.Outcome),
		TookUs:    completion.Duration.Microseconds(),
		LoadKnown: completion.Load.Known,
		Running:   int32(completion.Load.Running),
		Waiting:   int32(completion.Load.Waiting),
		Slots:     int32(completion.Load.Slots),
		Slowness:  float32(completion.Load.SlowdownFactor),
		Mark:      completion.ContentHash,
		Team:      completion.Team,
	}
}

// DecodeFinish converts the completion of an attempt of a follower.
func DecodeFinish(f *linkpb.Finish, from *Follower) placing.Completion {
	return placing.Completion{
		AttemptID:   placing.AttemptID{Instance: from.Instance, Number: f.Number},
		HeardAt:     from.DecodeTime(f.HeardUs),
		Server:      f.Server,
		Outcome:     placing.Outcome(f.Outcome),
		Duration:    microseconds(f.TookUs),
		ContentHash: f.Mark,
		Team:        f.Team,
		Load: placing.Load{
			Known:          f.LoadKnown,
			Running:        int(f.Running),
			Waiting:        int(f.Waiting),
			Slots:          int(f.Slots),
			SlowdownFactor: float64(f.Slowness),
		},
	}
}

// EncodeVerdict converts a decision for a follower.
func EncodeVerdict(decision placing.Decision, to *Follower) *linkpb.Verdict {
	return &linkpb.Verdict{
		HeardUs:      to.EncodeTime(decision.HeardAt),
		Number:       decision.AttemptID.Number,
		Server:       decision.Server,
		Reason:       uint32(decision.Reason),
		RetryAfterUs: decision.RetryAfter.Microseconds(),
		AllowedPerS:  decision.Allowance.Rate,
		AllowedNow:   decision.Allowance.Tokens,
		AllowedBurst: decision.Allowance.Burst,
		AllowedPart:  decision.Allowance.Part,
		AllowedNeed:  decision.Allowance.Need,
	}
}

// DecodeVerdict converts a decision for an instance, which arrived over the link of a receiver.
func DecodeVerdict(v *linkpb.Verdict, instance string, receiver *FactsReceiver) placing.Decision {
	return placing.Decision{
		HeardAt:    receiver.DecodeTime(v.HeardUs),
		AttemptID:  placing.AttemptID{Instance: instance, Number: v.Number},
		Server:     v.Server,
		Reason:     placing.Reason(v.Reason),
		RetryAfter: microseconds(v.RetryAfterUs),
		Allowance:  usagecap.NewAllowance(v.AllowedPerS, v.AllowedNow, v.AllowedBurst, v.AllowedPart, v.AllowedNeed),
	}
}

// EncodeFacts converts the parts of a snapshot that have changed since the sequences in
// sent. If base, which may be nil, is the snapshot of which a part was sent, only the
// changes to that part since base are included.
func EncodeFacts(snapshot *facts.Snapshot, sent SentSequences, base *facts.Snapshot, now time.Time) *linkpb.Facts {
	era := snapshot.Era()
	out := &linkpb.Facts{
		Epoch: snapshot.Epoch, Era: era,
		OrdersRevision: EncodeRevision(snapshot.OperatorSettings.Version(), era), ListingRevision: EncodeRevision(snapshot.ListingVersion, era),
	}
	if snapshot.OperatorSettingsSequence != sent.OperatorSettings {
		out.Orders = &linkpb.Orders{Config: snapshot.OperatorSettings.Config, DomainsOut: snapshot.OperatorSettings.DomainsOut}
	}
	switch {
	case snapshot.ListingSequence == sent.Listing:
	case base != nil && sent.Listing > 0 && base.ListingSequence == sent.Listing:
		out.Listing = encodeListingChanges(base, snapshot, now)
	default:
		out.Listing = &linkpb.Listing{Servers: encodeServers(snapshot.Servers, now)}
	}
	if snapshot.BackpressureSequence != sent.Backpressure {
		states := snapshot.Backpressure.ForOthers()
		if base != nil && sent.Backpressure > 0 && base.BackpressureSequence == sent.Backpressure {
			states = states.ChangedSince(base.Backpressure)
		}
		out.Backpressure = EncodeBackpressure(states, now)
	}
	switch {
	case snapshot.OwnedRangesSequence == sent.OwnedRanges:
	case base != nil && sent.OwnedRanges > 0 && base.OwnedRangesSequence == sent.OwnedRanges && coversServices(base.OwnedRanges, snapshot.OwnedRanges):
		out.Ownership = encodeOwnership(base.OwnedRanges, snapshot.OwnedRanges)
		out.Ownership.Changes = true
	default:
		out.Ownership = encodeOwnership(nil, snapshot.OwnedRanges)
	}
	return out
}

// encodeListingChanges converts the servers that have been added, changed or removed
// since base.
func encodeListingChanges(base, snapshot *facts.Snapshot, now time.Time) *linkpb.Listing {
	out := &linkpb.Listing{Changes: true}
	var changed []fleet.Server
	for _, s := range snapshot.Servers {
		if old := base.Server(s.Name); old == nil || *old != s {
			changed = append(changed, s)
		}
	}
	for _, s := range base.Servers {
		if snapshot.Server(s.Name) == nil {
			out.Gone = append(out.Gone, s.Name)
		}
	}
	out.Servers = encodeServers(changed, now)
	return out
}

func encodeServers(servers []fleet.Server, now time.Time) []*linkpb.Server {
	out := make([]*linkpb.Server, 0, len(servers))
	for _, s := range servers {
		out = append(out, &linkpb.Server{
			Name:    s.Name,
			Born:    s.StartMS,
			Service: s.Service,
			Address: string(s.Address),
			Domain:  s.Domain,
			Slots:   int32(s.Slots),
			Leaving: s.Leaving,
			ColdUs:  max(0, s.ColdUntil.Sub(now).Microseconds()),
		})
	}
	return out
}

// decodeServers converts servers of a message that arrived at now.
func decodeServers(servers []*linkpb.Server, now time.Time) []fleet.Server {
	out := make([]fleet.Server, 0, len(servers))
	for _, s := range servers {
		server := fleet.Server{
			Incarnation: fleet.Incarnation{Name: s.Name, StartMS: s.Born},
			Service:     s.Service,
			Address:     fleet.Address(s.Address),
			Domain:      s.Domain,
			Slots:       int(s.Slots),
			Leaving:     s.Leaving,
		}
		if s.ColdUs > 0 {
			server.ColdUntil = now.Add(microseconds(s.ColdUs))
		}
		out = append(out, server)
	}
	return out
}

// coversServices reports whether all services of base are in owned. Ownership must be
// sent in full otherwise, since changes cannot express that a service was removed.
func coversServices(base, owned map[string][]owners.OwnedRange) bool {
	for service := range base {
		if _, ok := owned[service]; !ok {
			return false
		}
	}
	return true
}

// encodeOwnership converts the ranges whose owner or state differs from that in base.
func encodeOwnership(base, owned map[string][]owners.OwnedRange) *linkpb.Ownership {
	out := &linkpb.Ownership{}
	for service, ranges := range owned {
		for _, r := range owners.ChangedRanges(base[service], ranges) {
			out.Ranges = append(out.Ranges, &linkpb.OwnedRange{
				Service: service, From: int32(r.From), To: int32(r.To), Owner: r.Owner, Held: r.Held,
			})
		}
	}
	return out
}

// decodeOwnership converts ranges of a message. It leaves out those that are not ranges of keys.
func decodeOwnership(o *linkpb.Ownership) map[string][]owners.OwnedRange {
	out := map[string][]owners.OwnedRange{}
	for _, r := range o.GetRanges() {
		if r.From < 0 || r.To < r.From || r.To >= owners.NumKeys {
			continue
		}
		out[r.Service] = append(out[r.Service], owners.OwnedRange{
			Interval: owners.Interval{From: int(r.From), To: int(r.To)}, Owner: r.Owner, Held: r.Held,
		})
	}
	return out
}

func microseconds(us int64) time.Duration {
	return time.Duration(us) * time.Microsecond
}
