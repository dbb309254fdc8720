// Package events holds the numbered events that instances write. docs/events.md
// is their catalogue; a test keeps the two equal.
package events

import "github.com/charmbracelet/log"

// Event is one kind of log line. Numbers are never reused.
type Event struct {
	Number int
	Name   string
	Level  log.Level
	// Message says in one plain sentence what happened.
	Message string
}

// catalogue holds every registered event by number.
var catalogue = map[int]Event{}

// register adds an event to the catalogue. It panics on a number that is taken,
// which any test of the package finds.
func register(number int, name string, level log.Level, message string) Event {
	if other, taken := catalogue[number]; taken {
		panic("event number of " + name + " is taken by " + other.Name)
	}
	event := Event{Number: number, Name: name, Level: level, Message: message}
	catalogue[number] = event
	return event
}
