package report

import "time"

// Tenure is a time in which an instance granted the ranges of a shard.
type Tenure struct {
	Holder string    `json:"holder"`
	Token  string    `json:"token"`
	From   time.Time `json:"from"`
	Until  time.Time `json:"until"`
	// EndMissing reports that no record tells the end: Until is the last record of the holder.
	EndMissing bool `json:"cut"`
}
