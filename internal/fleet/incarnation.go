package fleet

import "strconv"

// Incarnation identifies one run of a backend server's process. A server that is
// restarted under the same name is a new incarnation and has none of the state of
// the previous one.
type Incarnation struct {
	Name string
	// StartMS is when the process started, in Unix milliseconds, or 0 if the server does not report it.
	StartMS int64
}

// String returns the name and start time, which together identify the incarnation.
func (i Incarnation) String() string {
	return i.Name + "/" + strconv.FormatInt(i.StartMS, 10)
}
