package check

// checkRecovery finds what was not served again in time after the last fault.
func checkRecovery(e *Evidence) []Violation {
	var found []Violation
	for _, what := range e.Unserved {
		found = append(found, Violation{Check: "recovery", Message: what})
	}
	return found
}
