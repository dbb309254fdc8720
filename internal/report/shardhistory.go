package report

import (
	"slices"
	"time"
)

// ShardHistory is the history of one shard.
type ShardHistory struct {
	Shard         string         `json:"shard"`
	Tenures       []Tenure       `json:"tenures"`
	Takeovers     []Takeover     `json:"pauses"`
	MissingOwners []MissingOwner `json:"missing_owners"`
}

// endTenure ends the latest tenure of the holder that has none.
func (l *ShardHistory) endTenure(r *Record) {
	for n := range slices.Backward(l.Tenures) {
		if t := &l.Tenures[n]; t.Holder == r.Instance && t.Until.IsZero() {
			t.Until = r.At
			return
		}
	}
}

// closeOpenTenures ends the tenures of which no record tells the end with the last record of
// their holder, or with the begin of a later tenure of the same holder.
func (l *ShardHistory) closeOpenTenures(last map[string]time.Time) {
	for n := range l.Tenures {
		t := &l.Tenures[n]
		if !t.Until.IsZero() {
			continue
		}
		t.EndMissing = true
		t.Until = last[t.Holder]
		for _, later := range l.Tenures[n+1:] {
			if later.Holder == t.Holder {
				t.Until = later.From
				break
			}
		}
	}
}
