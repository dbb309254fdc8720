package store

// Version is a revision of the store in an era. Revisions of different eras may be equal,
// although they belong to different writes.
type Version struct {
	Era, Revision uint64
}

// Before reports whether v is older than other.
func (v Version) Before(other Version) bool {
	return v.Era < other.Era || v.Era == other.Era && v.Revision < other.Revision
}
