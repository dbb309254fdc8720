package backendtest

// Options is what a case needs of its server. Its reports do not lag.
type Options struct {
	Keyed        bool
	ChecksTokens bool
	Slots        int
}
