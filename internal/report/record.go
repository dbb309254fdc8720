package report

import (
	"fmt"
	"time"
)

// Record is one line that an instance wrote.
type Record struct {
	At time.Time
	// Event is the event number; docs/events.md lists the events.
	Event    int
	Name     string
	Level    string
	Message  string
	Instance string
	Domain   string
	// Fields holds all other fields. If a field name occurs twice, the second value is
	// kept under the name with RepeatedFieldPrefix in front.
	Fields map[string]any
}

// RepeatedFieldPrefix marks the second value of a field that occurs twice in a line, such
// as instance in instance_state: the first is the writer, the second the instance that the
// event is about.
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
