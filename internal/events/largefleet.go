package events

import "github.com/charmbracelet/log"

// Events of a holder with many followers, 1810 to 1819.
var (
	FactsUnsendable = register(1810, "facts_unsendable", log.WarnLevel, "The holder could not encode the facts for an instance that joined; the link was closed.")
	EventsDelayed   = register(1811, "events_delayed", log.WarnLevel, "Messages wait so long for the event loop of the holder that instances place requests without it.")
)
