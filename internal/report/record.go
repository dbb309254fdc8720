package report

import (
	"fmt"
	"time"
)

// Record is one line that an instance wrote.
type Record struct {
	At time.Time
	// Event is the number of the event; docs/events.md lists them.
	Event    int
	Name     string
	Level    string
	Message  string
	Instance string
	Domain   string
	// Fields holds all other fields. A second value of a field name is kept
	// under the name with the prefix SecondPrefix.
	Fields map[string]any
}

// RepeatedFieldPrefix marks the second value of a field that occurs twice in a line,
// as instance does in instance_state: first the writer, then the instance it is about.
const RepeatedFieldPrefix = "other_"

// Text returns a field as text, empty when it is absent.
func (r *Record) Text(field string) string {
	switch value := r.Fields[field].(type) {
	case nil:
		return ""
	case string:
		return value
	default:
		return fmt.Sprint(value)
	}
}

// Number returns a numeric field, 0 when it is absent or not a number.
func (r *Record) Number(field string) float64 {
	value, _ := r.Fields[field].(float64)
	return value
}

// Has reports whether the line has the field.
func (r *Record) Has(field string) bool {
	_, found := r.Fields[field]
	return found
}

// Flag returns a boolean field, false when it is absent.
func (r *Record) Flag(field string) bool {
	value, _ := r.Fields[field].(bool)
	return value
}

// Duration returns a field in milliseconds as a duration.
func (r *Record) Duration(field string) time.Duration {
	return time.Duration(r.Number(field) * float64(time.Millisecond))
}
