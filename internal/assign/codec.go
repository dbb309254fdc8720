package assign

import (
	"encoding/json"
	"strconv"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/key"
)

// encodedAssignment is the stored form of an assignment. It lists each server
// name once and refers to it by index, so that a range takes about 50 bytes.
type encodedAssignment struct {
	Servers []string       `json:"servers,omitempty"`
	End     string         `json:"end,omitempty"`
	Ranges  []encodedRange `json:"ranges,omitempty"`
}

// MarshalJSON encodes the assignment in its stored form.
func (a Assignment) MarshalJSON() ([]byte, error) {
	out := encodedAssignment{Ranges: make([]encodedRange, len(a.Ranges))}
	index := map[string]int{"": 0}
	for i, r := range a.Ranges {
		out.Ranges[i].Start = strconv.FormatUint(uint64(r.Bounds.Start), 16)
		for n, name := range [3]string{r.Owner, r.FirstStandby, r.SecondStandby} {
			if _, known := index[name]; !known {
				out.Servers = append(out.Servers, name)
				index[name] = len(out.Servers)
			}
			out.Ranges[i].Servers[n] = index[name]
		}
		out.End = strconv.FormatUint(uint64(r.Bounds.End), 16)
	}
	return json.Marshal(out)
}

// UnmarshalJSON decodes the stored form. On an error it leaves a unchanged.
func (a *Assignment) UnmarshalJSON(data []byte) error {
	var in encodedAssignment
	if err := json.Unmarshal(data, &in); err != nil {
		return errors.Wrap(err, "decode the assignment")
	}
	ranges := make([]Range, len(in.Ranges))
	for i, r := range in.Ranges {
		end := in.End
		if i+1 < len(in.Ranges) {
			end = in.Ranges[i+1].Start
		}
		next, err := decodeRange(r, end, in.Servers)
		if err != nil {
			return errors.Wrapf(err, "range %d of assignment", i)
		}
		ranges[i] = next
	}
	a.Ranges = ranges
	return nil
}

func decodeRange(r encodedRange, end string, servers []string) (Range, error) {
	start, err := strconv.ParseUint(r.Start, 16, 64)
	if err != nil {
		return Range{}, errors.Wrap(err, "start")
	}
	stop, err := strconv.ParseUint(end, 16, 64)
	if err != nil {
		return Range{}, errors.Wrap(err, "end")
	}
	var names [3]string
	for n, index := range r.Servers {
		if index < 0 || index > len(servers) {
			return Range{}, errors.Errorf("server index %d is not in the list of %d servers", index, len(servers))
		}
		if index > 0 {
			names[n] = servers[index-1]
		}
	}
	bounds := key.Range{Start: key.Hash(start), End: key.Hash(stop)}
	return Range{Bounds: bounds, Owner: names[0], FirstStandby: names[1], SecondStandby: names[2]}, nil
}
