package backhttp

// Match says whether a response belongs to a request.
type Match uint8

// The matches.
const (
	// MatchNone means that the response belongs to another request. It is discarded.
	MatchNone Match = iota
	// MatchUnproven means that the response may belong to the request: nothing in it says
	// so. It is passed on, and its connection carries no other request.
	MatchUnproven
	// MatchProven means that the response says that it belongs to the request.
	MatchProven
)

// Proven returns MatchProven if proven is true, and otherwise MatchNone.
func Proven(proven bool) Match {
	if proven {
		return MatchProven
	}
	return MatchNone
}
