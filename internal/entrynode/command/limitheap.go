package command

import (
	"os"
	"runtime/debug"
)

// heapShare is the part of the machine's memory from which the garbage collector works harder
// to stay below. The rest is for the kernel, with the buffers of the sockets.
const heapShare = 0.6

// limitHeap tells the garbage collector how much memory the machine has, unless the
// environment does.
func limitHeap(memory int64) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(float64(memory) * heapShare))
	}
}
