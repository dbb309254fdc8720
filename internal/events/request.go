package events

import "github.com/charmbracelet/log"

// Events of a request at the entry instance, 1450 to 1499. Each request ends in
// exactly one EntryEnded or RequestRefusedAtEntry.
var (
	RequestForwardedAgain = register(1450, "request_forwarded_again", log.InfoLevel, "The entry instance forwards the request to a holder again.")
	EntryEnded            = register(1451, "entry_ended", log.InfoLevel, "The entry instance has reported the outcome of the request to the caller.")
	RequestRefusedAtEntry = register(1452, "request_refused_at_entry", log.InfoLevel, "The request failed the checks of the entry instance.")
)
