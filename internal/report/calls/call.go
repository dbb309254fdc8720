package calls

import "time"

// Call is the account of one call at the instance that took it.
type Call struct {
	ID       string `json:"id"`
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Key      int    `json:"key"`
	// Outcome is empty while no line says how the call ended.
	Outcome string `json:"outcome"`
	// Server ran the last attempt.
	Server string `json:"server"`
	Sends  int    `json:"sends"`
	// Ended is the time of the final answer.
	Ended      time.Time     `json:"ended"`
	Duration   time.Duration `json:"took_ns"`
	RetryAfter time.Duration `json:"retry_after_ns"`
	// Version is the version of the settings that were used.
	Version  int64     `json:"settings_version"`
	Detail   string    `json:"detail"`
	Attempts []Attempt `json:"attempts"`
	// PrecedingEvents holds the last news of the instance before the end of the call.
	PrecedingEvents []InstanceEvent `json:"before"`
}
