package report

import "time"

// rowKey identifies a row of the summary.
type rowKey struct {
	service string
	hour    time.Time
}
