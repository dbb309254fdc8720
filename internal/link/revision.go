package link

import "peridotmoor.org/peridotmoor/internal/store"

// encodeRevision converts the version of a part of the facts, of which the latest part is of
// the given era. A message has one era, so that a part of an earlier one has no revision.
func encodeRevision(version store.Version, era uint64) uint64 {
	if version.Era < era {
		return 0
	}
	return version.Revision
}

// decodeRevision is the inverse of encodeRevision. A part without a revision counts as older
// than all of its era.
func decodeRevision(revision, era uint64) store.Version {
	if revision == 0 && era > 0 {
		era--
	}
	return store.Version{Era: era, Revision: revision}
}
