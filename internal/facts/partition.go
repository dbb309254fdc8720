package facts

const (
	// partitionSize is how many servers or ranges one part of a digest covers. A part that
	// differs is sent whole, and each part takes 8 bytes when an instance joins.
	partitionSize = 8
	// maxPartitions bounds the parts of a digest.
	maxPartitions = 1024
)

// Partitions returns into how many parts a digest of n servers or ranges is divided: a power
// of two, or 0 for none.
func Partitions(n int) int {
	if n == 0 {
		return 0
	}
	parts := 1
	for parts < maxPartitions && parts*partitionSize < n {
		parts *= 2
	}
	return parts
}

// ValidPartitions reports whether an instance may divide its digest into n parts.
func ValidPartitions(n int) bool {
	return n > 0 && n <= maxPartitions && n&(n-1) == 0
}
