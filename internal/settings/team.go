package settings

// Team is a group of callers that share keys. It is not modified after Parse.
type Team struct {
	Name string
	// Priority, where HasPriority is set, goes before that of the request; 9 is served first.
	Priority    int
	HasPriority bool
}
