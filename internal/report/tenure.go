package report

import "time"

// Tenure is a period in which an instance granted the ranges of a shard.
type Tenure struct {
	Holder string    `json:"holder"`
	Token  string    `json:"token"`
	From   time.Time `json:"from"`
	Until  time.Time `json:"until"`
	// EndMissing reports that the end is not recorded: Until is then the last record of
	// the holder, or the start of its next tenure.
	EndMissing bool `json:"cut"`
}
