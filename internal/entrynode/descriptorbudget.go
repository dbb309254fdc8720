package entrynode

import "golang.org/x/sys/unix"

// descriptorBudget bounds the connections that others open to an instance. What is left of the
// descriptors is for connections to backend servers, to the store and of joined instances.
type descriptorBudget struct {
	callers, peers, readiness, metrics int
}

const (
	// minDescriptors is the least limit with which each listener gets several connections.
	minDescriptors = 128
	maxDescriptors = 1 << 20
)

// newDescriptorBudget divides the given number of descriptors. The smallest machine of the
// deployments has 3,075: 1,153 for callers, more than ten times the requests in progress at
// an instance, and 384 for peers that have not joined, more than the largest fleet has.
func newDescriptorBudget(descriptors int) descriptorBudget {
	return descriptorBudget{callers: descriptors * 3 / 8, peers: descriptors / 8, readiness: descriptors / 32, metrics: descriptors / 32}
}

// processDescriptors returns how many descriptors the process may open.
func processDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return minDescriptors
	}
	return int(min(max(limit.Cur, minDescriptors), maxDescriptors))
}
