package publish

// settingsFetch tracks the fetch of settings from a peer, of which one may be in progress, and
// the highest announced version with the address of the peer that announced it.
type settingsFetch struct {
	running bool
	address string
	version uint64
}
