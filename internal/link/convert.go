package link

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// EncodeAsk converts an ask that is sent at now.
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
	}
}

// DecodeAsk converts an ask of an instance that arrived at now.
func DecodeAsk(a *linkpb.Ask, instance, domain string, now time.Time) placing.Attempt {
	return placing.Attempt{
		AttemptID:   placing.AttemptID{Instance: instance, Number: a.Number},
		Service:  a.Service,
		Key:      int(a.Key),
		Priority: int(a.Priority),
		Domain:   domain,
		Large:    a.Large,
		SoftDeadline:   now.Add(micros(a.TargetUs)),
		Deadline: now.Add(micros(a.DeadlineUs)),
		Tried:    a.Avoid,
		ContentHash:     a.Mark,
		Resubmitted:    a.Again,
	}
}

// EncodeFinish converts the end of an attempt.
func EncodeFinish(f placing.Completion) *linkpb.Finish {
	return &linkpb.Finish{
		Number:    f.AttemptID.Number,
		Server:    f.Server,
		Outcome:   uint32(f.Outcome),
		TookUs:    f.Duration.Microseconds(),
		LoadKnown: f.Load.Known,
		Running:   int32(f.Load.Running),
		Waiting:   int32(f.Load.Waiting),
		Slots:     int32(f.Load.Slots),
		Slowness:  float32(f.Load.SlowdownFactor),
		Mark:      f.ContentHash,
	}
}

// DecodeFinish converts the end of an attempt of an instance.
func DecodeFinish(f *linkpb.Finish, instance string) placing.Completion {
	return placing.Completion{
		AttemptID:  placing.AttemptID{Instance: instance, Number: f.Number},
		Server:  f.Server,
		Outcome: placing.Outcome(f.Outcome),
		Duration:    micros(f.TookUs),
		ContentHash:    f.Mark,
		Load: placing.Load{
			Known:    f.LoadKnown,
			Running:  int(f.Running),
			Waiting:  int(f.Waiting),
			Slots:    int(f.Slots),
			SlowdownFactor: float64(f.Slowness),
		},
	}
}

// EncodeVerdict converts a verdict.
func EncodeVerdict(v placing.Decision) *linkpb.Verdict {
	return &linkpb.Verdict{
		Number:       v.AttemptID.Number,
		Server:       v.Server,
		Reason:       uint32(v.Reason),
		RetryAfterUs: v.RetryAfter.Microseconds(),
	}
}

// DecodeVerdict converts a verdict for an instance.
func DecodeVerdict(v *linkpb.Verdict, instance string) placing.Decision {
	return placing.Decision{
		AttemptID:     placing.AttemptID{Instance: instance, Number: v.Number},
		Server:     v.Server,
		Reason:     placing.Reason(v.Reason),
		RetryAfter: micros(v.RetryAfterUs),
	}
}

// EncodeFacts converts the parts of a view that differ from what was sent before.
// Parts that were sent as in base are converted to their changes since then; base
// may be nil.
func EncodeFacts(view *facts.View, sent Sent, base *facts.View, now time.Time) *linkpb.Facts {
	out := &linkpb.Facts{
		Epoch: view.Epoch, AgeUs: -1,
		OrdersRevision: view.Orders.Revision, ListingRevision: view.ListingRevision,
	}
	if view.OrdersSequence != sent.Orders {
		out.Orders = &linkpb.Orders{Config: view.Orders.Config, DomainsOut: view.Orders.DomainsOut}
	}
	switch {
	case view.ListingSequence == sent.Listing:
	case base != nil && sent.Listing > 0 && base.ListingSequence == sent.Listing:
		out.Listing = encodeListingChanges(base, view, now)
	default:
		out.Listing = &linkpb.Listing{Servers: encodeServers(view.Servers, now)}
	}
	switch {
	case view.OwnedSequence == sent.Owned:
	case base != nil && sent.Owned > 0 && base.OwnedSequence == sent.Owned && keepsServices(base.Owned, view.Owned):
		out.Ownership = encodeOwnership(base.Owned, view.Owned)
		out.Ownership.Changes = true
	default:
		out.Ownership = encodeOwnership(nil, view.Owned)
	}
	return out
}

func encodeListingChanges(base, view *facts.View, now time.Time) *linkpb.Listing {
	out := &linkpb.Listing{Changes: true}
	var changed []fleet.Server
	for _, s := range view.Servers {
		if old := base.Server(s.Name); old == nil || *old != s {
			changed = append(changed, s)
		}
	}
	for _, s := range base.Servers {
		if view.Server(s.Name) == nil {
			out.Gone = append(out.Gone, s.Name)
		}
	}
	out.Servers = encodeServers(changed, now)
	return out
}

// AgeOf returns the age of the board in microseconds, or -1.
func AgeOf(board *facts.Board, now time.Time) int64 {
	age, known := board.Age(now)
	if !known {
		return -1
	}
	return age.Microseconds()
}

func encodeServers(servers []fleet.Server, now time.Time) []*linkpb.Server {
	out := make([]*linkpb.Server, 0, len(servers))
	for _, s := range servers {
		out = append(out, &linkpb.Server{
			Name:    s.Name,
			Born:    s.Born,
			Service: s.Service,
			Address: s.Address,
			Domain:  s.Domain,
			Slots:   int32(s.Slots),
			Leaving: s.Leaving,
			ColdUs:  max(0, s.ColdUntil.Sub(now).Microseconds()),
		})
	}
	return out
}

// decodeServers converts servers that were told at now.
func decodeServers(servers []*linkpb.Server, now time.Time) []fleet.Server {
	out := make([]fleet.Server, 0, len(servers))
	for _, s := range servers {
		server := fleet.Server{
			Life:    fleet.Life{Name: s.Name, Born: s.Born},
			Service: s.Service,
			Address: s.Address,
			Domain:  s.Domain,
			Slots:   int(s.Slots),
			Leaving: s.Leaving,
		}
		if s.ColdUs > 0 {
			server.ColdUntil = now.Add(micros(s.ColdUs))
		}
		out = append(out, server)
	}
	return out
}

// keepsServices reports whether all services of base are in owned, since changes
// do not tell of one that is not.
func keepsServices(base, owned map[string][]owners.View) bool {
	for service := range base {
		if _, ok := owned[service]; !ok {
			return false
		}
	}
	return true
}

// encodeOwnership converts the ranges that differ from those of base.
func encodeOwnership(base, owned map[string][]owners.View) *linkpb.Ownership {
	out := &linkpb.Ownership{}
	for service, ranges := range owned {
		for _, r := range owners.Changed(base[service], ranges) {
			out.Ranges = append(out.Ranges, &linkpb.OwnedRange{
				Service: service, From: int32(r.From), To: int32(r.To), Owner: r.Owner, Held: r.Held,
			})
		}
	}
	return out
}

func decodeOwnership(o *linkpb.Ownership) map[string][]owners.View {
	out := map[string][]owners.View{}
	for _, r := range o.Ranges {
		out[r.Service] = append(out[r.Service], owners.View{
			Interval: owners.Interval{From: int(r.From), To: int(r.To)}, Owner: r.Owner, Held: r.Held,
		})
	}
	return out
}

func micros(us int64) time.Duration {
	return time.Duration(us) * time.Microsecond
}
