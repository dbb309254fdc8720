package holder

// stay identifies the time in which one process of an instance has joined this holder and
// no other one, by one or several links.
type stay struct {
	instance      string
	holderChanges uint64
}
