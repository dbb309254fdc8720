package gateway

import "time"

// heard is what the holder's last message said of its reading of the store.
type heard struct {
	at time.Time
	// age is how old that reading was, or negative when there was none.
	age time.Duration
	// instances is how many instances followed the holder.
	instances int
}
