package gateway

import "time"

// holderStatus is the holder's last message.
type holderStatus struct {
	heardAt time.Time
	// instances is how many instances followed the holder.
	instances int
	// maxProcessorShare is the largest processor share among them.
	maxProcessorShare float64
}
