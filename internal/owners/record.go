package owners

import (
	"encoding/json"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Record is what the store keeps of all services: enough for a successor to go
// on without giving a key to two servers.
type Record struct {
	// Epoch rises with each holder.
	Epoch int64 `json:"epoch"`
	// Holder is the name and incarnation of the instance that wrote the record.
	Holder string `json:"holder"`
	// Services holds the ranges of each service in the order of their keys.
	Services map[string][]RecordRange `json:"services"`
	// Instances is how many instances followed the holder.
	Instances int `json:"instances,omitempty"`
	// InheritedGrantsPending is set while holders before the one that wrote the record may still
	// grant. It may stay set for longer, which only makes a successor wait.
	InheritedGrantsPending bool `json:"unsettled,omitempty"`
	// Yielded is set when the holder has ended its tenure for a stronger machine.
	Yielded bool `json:"yielded,omitempty"`
	// Addresses holds the address of each life in the spans by its String, as a
	// server that lives on may be listed no more.
	Addresses map[string]string `json:"addresses,omitempty"`
}

// Incarnations returns the lives in the spans with the services that they belong to.
func (r Record) Incarnations() map[fleet.Incarnation]string {
	out := map[fleet.Incarnation]string{}
	for service, spans := range r.Services {
		for _, s := range spans {
			out[fleet.Incarnation{Name: s.Owner, StartMS: s.StartMS}] = service
			if s.Previous != "" {
				out[fleet.Incarnation{Name: s.Previous, StartMS: s.PreviousStartMS}] = service
			}
		}
	}
	return out
}

// Encode returns the record as the store keeps it.
func (r Record) Encode() ([]byte, error) {
	text, err := json.Marshal(r)
	return text, errors.Wrap(err, "encode the record of owners")
}

// DecodeRecord reads a record.
func DecodeRecord(text []byte) (Record, error) {
	var r Record
	err := json.Unmarshal(text, &r)
	return r, errors.Wrap(err, "the record of owners is not readable; remove its key to start anew")
}

// OwnedRanges returns the ranges as instances know them. A range is taken as held
// unless its previous owner may not have given it up.
func (r Record) OwnedRanges() map[string][]OwnedRange {
	out := map[string][]OwnedRange{}
	for name, spans := range r.Services {
		for _, s := range spans {
			out[name] = append(out[name], OwnedRange{Interval: Interval{From: s.From, To: s.To}, Owner: s.Owner, Held: s.Previous == ""})
		}
	}
	return out
}
