package gateway

import "time"

// Metrics counts what the gateway does.
type Metrics interface {
	// CallEnded counts a call by service and outcome with its duration.
	CallEnded(service, outcome string, took time.Duration)
}
