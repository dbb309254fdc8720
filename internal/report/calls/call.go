package calls

import "time"

// Call is what the log of an instance shows about one call that the instance accepted.
type Call struct {
	ID       string `json:"id"`
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Key      int    `json:"key"`
	// Outcome is empty if no line says how the call ended.
	Outcome string `json:"outcome"`
	// Server ran the last attempt.
	Server string `json:"server"`
	Sends  int    `json:"sends"`
	// Ended is the time of the final response.
	Ended    time.Time     `json:"ended"`
	Duration time.Duration `json:"took_ns"`
	// Limit is how long the call was allowed to take, or 0 if it is unknown.
	Limit      time.Duration `json:"limit_ns"`
	RetryAfter time.Duration `json:"retry_after_ns"`
	// Version is the settings version that the instance used.
	Version  int64     `json:"settings_version"`
	Detail   string    `json:"detail"`
	Attempts []Attempt `json:"attempts"`
	// PrecedingEvents are the last state events of the instance before the end of the
	// call.
	PrecedingEvents []InstanceEvent `json:"before"`
}
