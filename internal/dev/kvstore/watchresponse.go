package kvstore

// watchResponse is the answer of a watch.
type watchResponse struct {
	Events []item `json:"events"`
}
