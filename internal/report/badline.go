package report

import "fmt"

// BadLine is an input line that is not a valid record.
type BadLine struct {
	Source string `json:"source"`
	// Line is the line number, counted from 1.
	Line   int    `json:"line"`
	Reason string `json:"reason"`
}

// String returns the source, the line number and the reason.
func (b BadLine) String() string {
	return fmt.Sprintf("%s:%d: %s", b.Source, b.Line, b.Reason)
}
