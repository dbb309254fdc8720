package placing

// refusalKey recognises a refused request when its caller returns over any instance: by its
// content and by the time at which its caller gives up, which stays the same. Content alone
// does not do, as many callers read the same hot key.
type refusalKey struct {
	contentHash uint64
	// deadline is in units of maxDeadlineError.
	deadline int64
}

func newRefusalKey(a *Attempt) refusalKey {
	return refusalKey{a.ContentHash, a.Deadline.UnixNano() / int64(maxDeadlineError)}
}
