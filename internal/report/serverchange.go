package report

import "time"

// ServerChange is what a change of its domain meant for one server.
type ServerChange struct {
	Server string    `json:"server"`
	Shard  string    `json:"shard"`
	Holder string    `json:"holder"`
	At     time.Time `json:"at"`
	// ColdReason says why the server was taken as cold after its return; empty otherwise.
	ColdReason string `json:"cold,omitempty"`
	// Dispatches counts the dispatches to the server from Begin to the next change.
	Dispatches int `json:"work"`
	// FirstDispatch and Last are the first and last of them; for a departure Last is the
	// last new work, and it is nil when there was none after Begin.
	FirstDispatch *DispatchRef `json:"first_work"`
	LastDispatch  *DispatchRef `json:"last_work"`
}
