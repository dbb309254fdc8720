package nodeconfig

import (
	"strings"
)

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
