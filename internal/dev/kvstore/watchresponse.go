package kvstore

// eventsPage is the answer of a watch.
type eventsPage struct {
	Events []item `json:"events"`
}
