package owners

// epochBits is the number of bits of an epoch below those of the era: a million elections.
const epochBits = 20

// FirstEpoch returns the lowest epoch of a holder that is elected in an era of the store. No
// holder of an era before has it, whether or not the store still knows of that holder.
func FirstEpoch(era uint64) int64 {
	return max(1, int64(era<<epochBits))
}

// IsFirstEpoch reports whether the epoch is that of the first holder of an era.
func IsFirstEpoch(epoch int64) bool {
	return epoch == 1 || epoch > 0 && epoch&(1<<epochBits-1) == 0
}

// MaxEpoch returns the highest epoch that can have been given out when the store had the given
// revision in an era: each tenure writes the record once under a new epoch.
func MaxEpoch(era, revision uint64) uint64 {
	return era<<epochBits + revision
}
