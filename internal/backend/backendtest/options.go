package backendtest

// Options configures the server of a case. Its health and load reports must be up to date.
type Options struct {
	Keyed        bool
	ChecksTokens bool
	Slots        int
}
