package events

import "github.com/charmbracelet/log"

// Events of second attempts beside slow ones.
var (
	HedgeSent  = register(1800, "hedge_sent", log.InfoLevel, "The holder has assigned a second attempt of a slow request to another server, beside the first one.")
	HedgeEnded = register(1801, "hedge_ended", log.InfoLevel, "Both attempts of a request with a second attempt beside the first one have ended.")
)
