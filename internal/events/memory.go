package events

import "github.com/charmbracelet/log"

// Events of the memory that connections hold.
var (
	ConnectionEndedForMemory = register(1770, "connection_ended_for_memory", log.WarnLevel, "The memory for connections was used up; the caller's connection that held the most for the longest without progress was ended.")
	RequestRefusedForMemory  = register(1771, "request_refused_for_memory", log.WarnLevel, "A request was refused, and not run, because the memory for connections was used up.")
)
