package nodeconfig

import (
	"fmt"
	"strings"
)

// Issue is one fault of the file.
type Issue struct {
	File    string
	Section string
	Key     string
	Value   string
	Reason  string
	Remedy  string
}

// String formats the issue in one line.
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

// Issues is the error that Parse returns: every fault found.
type Issues []Issue

// Error lists the issues, one a line.
func (s Issues) Error() string {
	lines := make([]string, len(s))
	for i, issue := range s {
		lines[i] = issue.String()
	}
	return strings.Join(lines, "\n")
}
