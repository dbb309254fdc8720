package fleet

// Team is a group of callers that share API keys and a usage cap.
type Team struct {
	Name string
	// Priority, where HasPriority is set, goes before that of the route; 0 is the highest.
	Priority    int
	HasPriority bool
	Cap         Cap
}
