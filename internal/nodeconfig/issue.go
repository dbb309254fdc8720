package nodeconfig

import (
	"fmt"
)

// Issue is a problem in the file.
type Issue struct {
	File    string
	Section string
	Key     string
	Value   string
	Reason  string
	Remedy  string
}

// String formats the issue as one line.
func (i Issue) String() string {
	place := i.File + ": "
	if i.Section != "" {
		place += "[" + i.Section + "] "
	}
	if i.Key != "" {
		place += fmt.Sprintf("%s = %q: ", i.Key, i.Value)
	}
	return place + i.Reason + "; " + i.Remedy
}
