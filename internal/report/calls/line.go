package calls

import "time"

// line holds the fields of a log line that this package uses.
type line struct {
	Event    int       `json:"event"`
	Name     string    `json:"name"`
	Message  string    `json:"msg"`
	At       time.Time `json:"at"`
	Instance string    `json:"instance"`

	Request      string `json:"request"`
	Service      string `json:"service"`
	Key          int    `json:"key"`
	Outcome      string `json:"outcome"`
	Server       string `json:"server"`
	Sends        int    `json:"sends"`
	DurationMS   int64  `json:"ms"`
	LimitMS      int64  `json:"limit_ms"`
	RetryAfterMS int64  `json:"retry_after_ms"`
	Version      int64  `json:"settings_version"`
	Detail       string `json:"detail"`
	Reason       string `json:"reason"`
	DroppedCount int64  `json:"count"`
	HolderName   string `json:"holder"`
}
