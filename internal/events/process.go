package events

import "github.com/charmbracelet/log"

// Events of the process itself, 1000 to 1099.
var (
	EventsDropped    = register(1000, "events_dropped", log.WarnLevel, "Log lines were dropped because the event queue was full or an event exceeded its rate limit.")
	InstanceStarted  = register(1001, "instance_started", log.InfoLevel, "The instance has started.")
	InstanceStopping = register(1002, "instance_stopping", log.InfoLevel, "The instance has begun a planned stop.")
	InstanceStopped  = register(1003, "instance_stopped", log.InfoLevel, "The instance has completed its planned stop.")
)
