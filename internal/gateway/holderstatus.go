package gateway

import "time"

// holderStatus is the status of the holder as of its last message.
type holderStatus struct {
	heardAt time.Time
	// instances is the number of instances that followed the holder.
	instances int
	// maxProcessorShare is the largest processor share of these instances.
	maxProcessorShare float64
}
