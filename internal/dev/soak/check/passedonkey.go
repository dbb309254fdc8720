package check

// passedOnKey is a process of an instance and a server whose response it passed on.
type passedOnKey struct {
	process processKey
	server  string
}
