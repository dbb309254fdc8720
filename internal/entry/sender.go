package entry

// Sender is who sends a request, by its credential and the settings in effect.
type Sender struct {
	// KeysRequired is set if the settings have teams. Then what the caller shows is not forwarded.
	KeysRequired bool
	// Team is empty for an anonymous request.
	Team string
	// Refusal says why the request is not accepted, or is empty.
	Refusal string
}
