package fleet

// UnreadableEntry is an entry of the platform's list that does not describe a server.
type UnreadableEntry struct {
	Key string `json:"key"`
	// Reason says what is wrong with the entry.
	Reason string `json:"reason"`
}
