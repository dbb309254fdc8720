package report

import "fmt"

// BadLine is a line that is no record.
type BadLine struct {
	Source string `json:"source"`
	// Line counts from 1.
	Line   int    `json:"line"`
	Reason string `json:"reason"`
}

// String returns the place and the reason.
func (b BadLine) String() string {
	return fmt.Sprintf("%s:%d: %s", b.Source, b.Line, b.Reason)
}
