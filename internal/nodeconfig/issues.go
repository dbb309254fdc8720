package nodeconfig

import (
	"strings"
)

// Issues is the error of Parse: all problems in the file.
type Issues []Issue

// Error lists the issues, one per line.
func (s Issues) Error() string {
	lines := make([]string, len(s))
	for i, issue := range s {
		lines[i] = issue.String()
	}
	return strings.Join(lines, "\n")
}
