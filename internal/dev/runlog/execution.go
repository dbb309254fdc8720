// Package runlog records which requests the simulated backend servers executed.
// The outcomes that the routers report are checked against it.
package runlog

import "time"

// Execution is one execution of a request on a backend server. It counts from the
// moment the server admitted the request, even if it was aborted.
type Execution struct {
	RequestID   string `json:"request_id"`
	Service     string `json:"service"`
	Key         string `json:"key"`
	Server      string `json:"server"`
	Incarnation string `json:"incarnation"`
	Idempotent  bool   `json:"idempotent"`
	// TimeoutMS is the time until the caller's deadline when the request was sent, in ms.
	TimeoutMS int64     `json:"timeout_ms"`
	Start     time.Time `json:"start"`
	// End is zero while the request is running.
	End time.Time `json:"end"`
	// Answered reports whether the complete response was written.
	Answered bool `json:"answered"`
	// Cancelled reports whether the caller's connection closed before the response.
	Cancelled bool `json:"cancelled"`
}
