package holder

import "peridotmoor.org/peridotmoor/internal/store"

// heldLease is the lease of a tenure, which is valid in one era of the store only.
type heldLease struct {
	id  store.LeaseID
	era uint64
}
