package soak

// domainCut is a cut of a failure domain from the other ones and from the store.
type domainCut struct {
	domain    string
	direction cutDirection
}
