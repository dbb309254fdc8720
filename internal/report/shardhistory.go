package report

import (
	"slices"
	"time"
)

// ShardHistory lists the tenures of one shard, the takeovers of its ranges, and the ranges
// that lost their owner.
type ShardHistory struct {
	Shard         string         `json:"shard"`
	Tenures       []Tenure       `json:"tenures"`
	Takeovers     []Takeover     `json:"pauses"`
	MissingOwners []MissingOwner `json:"missing_owners"`
}

// endTenure ends the latest unfinished tenure of the holder.
func (h *ShardHistory) endTenure(r *Record) {
	for n := range slices.Backward(h.Tenures) {
		if t := &h.Tenures[n]; t.Holder == r.Instance && t.Until.IsZero() {
			t.Until = r.At
			return
		}
	}
}

// closeOpenTenures sets the end of each tenure whose end is not recorded: to the start of
// a later tenure of the same holder, or else to the last record of the holder.
func (h *ShardHistory) closeOpenTenures(last map[string]time.Time) {
	for n := range h.Tenures {
		t := &h.Tenures[n]
		if !t.Until.IsZero() {
			continue
		}
		t.EndMissing = true
		t.Until = last[t.Holder]
		for _, later := range h.Tenures[n+1:] {
			if later.Holder == t.Holder {
				t.Until = later.From
				break
			}
		}
	}
}
