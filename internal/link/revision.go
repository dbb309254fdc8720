package link

import (
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/store"
)

// EncodeRevision converts the version of a part of the facts, of which the latest part is of
// the given era. A message has one era, so that a part of an earlier one has no revision.
func EncodeRevision(version store.Version, era uint64) uint64 {
	if version.Era < era {
		return 0
	}
	return version.Revision
}

// decodeRevision is the inverse of EncodeRevision. A part without a revision may be from any
// earlier era and counts as older than all parts with one.
func decodeRevision(revision, era uint64) store.Version {
	if revision == 0 {
		return store.Version{}
	}
	return store.Version{Era: era, Revision: revision}
}

// confirms reports whether a message shows that a registry with facts of the given era is as
// new as the reading that the message is from. In a later era the registry may have rejected
// newer facts: those of a part without a revision, and those of a sender that tells no era.
func confirms(f *linkpb.Facts, era uint64) bool {
	return f.Era >= era && (f.Era == 0 || f.OrdersRevision > 0 && f.ListingRevision > 0)
}
