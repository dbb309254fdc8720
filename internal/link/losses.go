package link

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/crashes"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// EncodeLosses converts losses that are sent at now.
func EncodeLosses(losses []crashes.Loss, now time.Time) []*linkpb.Loss {
	var out []*linkpb.Loss
	for _, l := range losses {
		out = append(out, &linkpb.Loss{Mark: l.Content, Id: l.ID, AgeUs: now.Sub(l.At).Microseconds(), Excused: l.Excused})
	}
	return out
}

// MergeLosses records losses that another instance has told at now.
func MergeLosses(memory *crashes.Memory, losses []*linkpb.Loss, now time.Time) {
	for _, l := range losses {
		memory.Record(crashes.Loss{Content: l.Mark, ID: l.Id, At: now.Add(-max(0, microseconds(l.AgeUs))), Excused: l.Excused}, now)
	}
}
