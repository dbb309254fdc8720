package fleet

import "strconv"

// Incarnation is one run of a backend server's process. A server that starts again
// under its name is another life, which knows nothing of the one before.
type Incarnation struct {
	Name string
	// StartMS is the Unix time of the start in milliseconds, or 0 when the server does not say.
	StartMS int64
}

// String returns name and start, which identify the life.
func (l Incarnation) String() string {
	return l.Name + "/" + strconv.FormatInt(l.StartMS, 10)
}
