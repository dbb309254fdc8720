package gateway

// HedgeMetrics counts the hedges of this instance by service.
type HedgeMetrics interface {
	// HedgeSent counts a hedge that the holder has assigned to a server.
	HedgeSent(service string)
	// HedgeWon counts a hedge whose response went to the caller.
	HedgeWon(service string)
	// HedgeRefused counts a hedge that was not assigned to a server.
	HedgeRefused(service string)
}
