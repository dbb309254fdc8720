package admission

// Priority is the first criterion of the order of the queue, before the deadline. Requests
// of a higher priority are served first.
type Priority int
