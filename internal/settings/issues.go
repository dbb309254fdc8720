package settings

import (
	"strings"
)

// Issues is the error that Parse and CheckTransition return: every fault found.
type Issues []Issue

// Error lists the issues, one a line.
func (s Issues) Error() string {
	lines := make([]string, len(s))
	for i, issue := range s {
		lines[i] = issue.String()
	}
	return strings.Join(lines, "\n")
}

// errorOrNil returns s as an error, or nil when s is empty.
func (s Issues) errorOrNil() error {
	if len(s) == 0 {
		return nil
	}
	return s
}
