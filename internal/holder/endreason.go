package holder

// endReason is why a tenure ended. The zero value means that it has not ended.
type endReason uint32

// The reasons. The first one that applies is kept: a holder that another one has superseded
// may also find its lease gone before it ends.
const (
	// endLeaseGone means that the store does not know the lease any more.
	endLeaseGone endReason = iota + 1
	// endStoreOutage means that no renewal was answered for maxStoreOutage.
	endStoreOutage
	// endHigherFence means that a server has seen a higher fence.
	endHigherFence
	// endOtherRecord means that the record of owners is that of another tenure.
	endOtherRecord
	// endOtherKey means that the holder's key is that of another tenure.
	endOtherKey
	// endYielded means that the tenure ended in favour of a stronger machine.
	endYielded
	// endHandedOver means that a running instance follows this one, which ends within seconds.
	endHandedOver
	// endPlannedStop means that this instance ended with nobody to hand over to.
	endPlannedStop
	// endOtherEra means that the store has come back from an older copy, and that another
	// holder may have been elected since the lease was confirmed last.
	endOtherEra
)

// String returns the name of the reason in logs.
func (r endReason) String() string {
	names := [...]string{"", "lease-gone", "store-outage", "higher-fence", "other-record", "other-key", "yielded", "handed-over", "planned-stop", "other-era"}
	if int(r) < len(names) {
		return names[r]
	}
	return "unknown"
}
