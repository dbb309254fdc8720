package explain

// Answer is what an instance would decide on a request now. Times are in milliseconds.
type Answer struct {
	Instance        string `json:"instance"`
	Domain          string `json:"domain"`
	SettingsVersion int64  `json:"settings_version"`
	Facts           Facts  `json:"facts"`
	Holder          Holder `json:"holder"`
	// Refusal is that of the request on arrival, or nil.
	Refusal *Refusal `json:"refusal,omitempty"`
	Route   *Route   `json:"route,omitempty"`
	// Team is nil for an anonymous request.
	Team *Team `json:"team,omitempty"`
	// Rank is the priority class; 0 is the highest.
	Rank int `json:"rank"`
	// RetryIfNotRun and RetryIfLost tell whether a second attempt may follow one that has
	// not run, or that may have run.
	RetryIfNotRun bool      `json:"retry_if_not_run"`
	RetryIfLost   bool      `json:"retry_if_lost"`
	Services      []Service `json:"services,omitempty"`
}
