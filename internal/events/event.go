// Package events defines the numbered events that instances log, and the logger that
// writes them. docs/events.md is their catalogue, generated from the code; a test
// checks that the two agree.
package events

import "github.com/charmbracelet/log"

// Event is a type of log line. Numbers are never reused.
type Event struct {
	Number int
	Name   string
	Level  log.Level
	// Message says in one plain sentence what happened.
	Message string
}

// catalogue holds every registered event by number.
var catalogue = map[int]Event{}

// register adds an event to the catalogue. It panics if the number is already used,
// which fails every test of the package.
func register(number int, name string, level log.Level, message string) Event {
	if other, taken := catalogue[number]; taken {
		panic("event number of " + name + " is taken by " + other.Name)
	}
	event := Event{Number: number, Name: name, Level: level, Message: message}
	catalogue[number] = event
	return event
}
