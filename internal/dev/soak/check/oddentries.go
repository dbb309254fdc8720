package check

// checkOddEntries finds connections to what an odd entry of the server list names.
func checkOddEntries(e *Evidence) []Violation {
	var found []Violation
	for _, what := range e.OddConnections {
		found = append(found, Violation{Check: "odd entry", Message: what})
	}
	return found
}
