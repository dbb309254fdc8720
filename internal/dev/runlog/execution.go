// Package runlog records what the backend server stand-ins ran. It is the
// evidence against which the claims of the routers are judged.
package runlog

import "time"

// Execution is one run of a request on a backend server. A run counts from the
// moment the server took the request, even if it was cut off.
type Execution struct {
	RequestID   string `json:"request_id"`
	Service     string `json:"service"`
	Key         string `json:"key"`
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
	Idempotent  bool   `json:"idempotent"`
	// TimeoutMS is the time that the caller had left when it sent the request, in ms.
	TimeoutMS int64     `json:"timeout_ms"`
	Start     time.Time `json:"start"`
	// End is zero while the request is running.
	End time.Time `json:"end"`
	// Answered reports whether the whole answer was written.
	Answered bool `json:"answered"`
	// Cancelled reports whether the caller's connection closed before the answer.
	Cancelled bool `json:"cancelled"`
}
