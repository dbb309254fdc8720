package kvstore

// watchResponse is the response to a watch: the events up to now, or none after the time-out.
type watchResponse struct {
	Events []item `json:"events"`
}
