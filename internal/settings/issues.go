package settings

import (
	"strings"
)

// Issues is the error of Parse and CheckTransition. It lists all problems found.
type Issues []Issue

// Error returns the issues, one per line.
func (s Issues) Error() string {
	lines := make([]string, len(s))
	for i, issue := range s {
		lines[i] = issue.String()
	}
	return strings.Join(lines, "\n")
}

// errorOrNil returns s as an error, or nil if s is empty.
func (s Issues) errorOrNil() error {
	if len(s) == 0 {
		return nil
	}
	return s
}
