package events

import "github.com/charmbracelet/log"

// Events of the memory that connections hold.
var (
	ConnectionEndedForMemory = register(1770, "connection_ended_for_memory", log.WarnLevel, "The memory for connections was used up; the caller's connection that held the most for the longest without progress was ended.")
	RequestRefusedForMemory  = register(1771, "request_refused_for_memory", log.WarnLevel, "A request was refused, and not run, because the memory for connections was used up.")
	// ConnectionClosedForOthers is about descriptors, which are bounded like memory.
	ConnectionClosedForOthers = register(1772, "connection_closed_for_others", log.WarnLevel, "A listener had as many connections as its share of the descriptors; the one that had been idle for the longest, or else the new one, was closed.")
	// ResponsesUntaken is about what the kernel holds for a caller that reads slowly or not at all.
	ResponsesUntaken = register(1773, "responses_untaken", log.WarnLevel, "A caller's connection was closed before the caller had acknowledged all that was written to it, which it may have lost.")
	// RequestCut is about what is held for a server that has answered before it has read.
	RequestCut = register(1774, "request_cut", log.ErrorLevel, "A backend server has got a request in part although its caller was told that it succeeded.")
)
