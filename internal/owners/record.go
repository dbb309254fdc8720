package owners

import (
	"encoding/json"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/quorum"
)

// Record is the stored state of all services. It lets a successor continue without
// granting a key to two servers.
type Record struct {
	// Epoch increases with each holder.
	Epoch int64 `json:"epoch"`
	// Holder is the name and incarnation of the instance that wrote the record.
	Holder string `json:"holder"`
	// Services holds the ranges of each service, ordered by key.
	Services map[string][]RecordRange `json:"services"`
	// Fleet holds the instances that followed the holder, or those that followed an earlier
	// one while that one may still act.
	Fleet quorum.Fleet `json:"fleet,omitempty"`
	// MaxProcessorShare is the largest processor share among those instances, or 0 if it
	// is unknown.
	MaxProcessorShare float64 `json:"strongest,omitempty"`
	// InheritedGrantsPending is set while holders before the one that wrote the record
	// may still make grants. It may stay set for longer, which only makes a successor wait.
	InheritedGrantsPending bool `json:"unsettled,omitempty"`
	// RangesLost is set after an earlier record was spoiled by another program: until the
	// grants of earlier holders have expired, servers may hold keys that are in no range.
	RangesLost bool `json:"rangesLost,omitempty"`
	// Yielded is set when the holder has stepped down for a stronger machine.
	Yielded bool `json:"yielded,omitempty"`
	// Addresses holds the address of each incarnation in the ranges, keyed by its String,
	// as a server may still run after it is no longer listed.
	Addresses map[string]string `json:"addresses,omitempty"`
	// RelativeTimes holds the service times that the holder has learned. Older records have none.
	RelativeTimes fleet.RelativeTimes `json:"relativeTimes,omitempty"`
}

// Incarnations returns the incarnations in the ranges and the service of each.
func (r Record) Incarnations() map[fleet.Incarnation]string {
	out := map[fleet.Incarnation]string{}
	for service, ranges := range r.Services {
		for _, recorded := range ranges {
			out[fleet.Incarnation{Name: recorded.Owner, StartMS: recorded.StartMS}] = service
			if recorded.Previous != "" {
				out[fleet.Incarnation{Name: recorded.Previous, StartMS: recorded.PreviousStartMS}] = service
			}
		}
	}
	return out
}

// Encode returns the record in its stored form.
func (r Record) Encode() ([]byte, error) {
	text, err := json.Marshal(r)
	return text, errors.Wrap(err, "encode the record of key owners")
}

// DecodeRecord parses the stored form of a record, which was written when no epoch above
// maxEpoch had been given out. The error is ErrUnreadableRecord.
func DecodeRecord(text []byte, maxEpoch uint64) (Record, error) {
	var r Record
	err := json.Unmarshal(text, &r)
	if err == nil {
		err = r.check(maxEpoch)
	}
	if err != nil {
		return Record{}, errors.Wrap(ErrUnreadableRecord, err.Error())
	}
	return r, nil
}

// OwnedRanges returns the ranges of each service as published to instances. A range
// counts as held unless its previous owner may not have released it.
func (r Record) OwnedRanges() map[string][]OwnedRange {
	out := map[string][]OwnedRange{}
	for name, ranges := range r.Services {
		for _, recorded := range ranges {
			out[name] = append(out[name], OwnedRange{Interval: Interval{From: recorded.From, To: recorded.To}, Owner: recorded.Owner, Held: recorded.Previous == ""})
		}
	}
	return out
}
