package explain

// Holder is the holder that an instance follows.
type Holder struct {
	// Name is empty if the instance follows none.
	Name string `json:"name,omitempty"`
	// Places is set if the holder places requests, and not the instance by itself.
	Places   bool  `json:"places"`
	SilentMS int64 `json:"silent_ms"`
	// Instances is the number of instances that follow it, or 0 if that is unknown.
	Instances int `json:"instances"`
}
