package dispatch

import "math/rand/v2"

// runtimeSource reads from the runtime's per-thread generator, which needs no lock.
type runtimeSource struct{}

// Uint64 implements rand.Source.
func (runtimeSource) Uint64() uint64 {
	return rand.Uint64()
}

var sharedRandom = rand.New(runtimeSource{})

func runtimeRandom() *rand.Rand {
	return sharedRandom
}
