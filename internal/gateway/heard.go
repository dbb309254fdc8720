package gateway

import "time"

// heard is the holder's last message.
type heard struct {
	at time.Time
	// instances is how many instances followed the holder.
	instances int
	// strongest is the largest processor share among them.
	strongest float64
}
