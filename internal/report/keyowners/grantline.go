package keyowners

import (
	"time"
)

// grantLine is one grant in a line.
type grantLine struct {
	Service    string    `json:"service"`
	From       int       `json:"from"`
	To         int       `json:"to"`
	Server     string    `json:"server"`
	StartMS    int64     `json:"start_ms"`
	Fence      int64     `json:"fence"`
	SentAt     time.Time `json:"sent_at"`
	ValidUntil time.Time `json:"valid_until"`
	Outcome    string    `json:"outcome"`
	Reason     string    `json:"reason"`
	EndedAt    time.Time `json:"ended_at"`
}
