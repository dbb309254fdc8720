package gateway

// evidence is what shows, right before a request is written to a server, that the server is not
// leaving.
type evidence uint8

const (
	// evidenceNone means that nothing recent shows it.
	evidenceNone evidence = iota
	// evidenceFacts is a recent reading of the store.
	evidenceFacts
	// evidenceResponse is a recent response of the server to this instance.
	evidenceResponse
	// evidenceRelayed is a recent response of the server to another instance.
	evidenceRelayed
	// evidenceHealthCheck is a recent health check of this instance.
	evidenceHealthCheck
	// evidenceUnchecked means that nothing shows it, and that the server has no health check.
	evidenceUnchecked
)

// String returns the name of the evidence in logs and metrics.
func (e evidence) String() string {
	names := [...]string{"none", "facts", "response", "relayed-response", "health-check", "unchecked"}
	if int(e) < len(names) {
		return names[e]
	}
	return "unknown"
}
