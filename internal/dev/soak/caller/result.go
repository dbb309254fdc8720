package caller

// Result is how an attempt ended for its caller.
type Result string

// The results.
const (
	// Complete is a complete response, with any status.
	Complete Result = "complete"
	// Cut is the end of the connection before the response was complete.
	Cut Result = "cut"
	// Unanswered is the regular end of the connection after the response to an earlier request.
	Unanswered Result = "behind-close"
	// Left means that the caller closed the connection itself.
	Left Result = "left"
	// Unsent means that no connection could be opened.
	Unsent Result = "unsent"
)
