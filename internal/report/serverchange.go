package report

import "time"

// ServerChange is the effect of a change of a failure domain on one of its servers.
type ServerChange struct {
	Server string    `json:"server"`
	Shard  string    `json:"shard"`
	Holder string    `json:"holder"`
	At     time.Time `json:"at"`
	// ColdReason says why the server was treated as cold after its return; empty if it was
	// not.
	ColdReason string `json:"cold,omitempty"`
	// Dispatches counts the dispatches to the server from Begin to the next change.
	Dispatches int `json:"work"`
	// FirstDispatch and LastDispatch are the first and last dispatch from Begin to the
	// next change, nil if there was none. After the domain was taken out of service,
	// LastDispatch is the last new request.
	FirstDispatch *DispatchRef `json:"first_work"`
	LastDispatch  *DispatchRef `json:"last_work"`
}
