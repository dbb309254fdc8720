package hotkey

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/key"
)

// Guards against hot keys that are evicted from the sketch by a long tail of rare keys.
func TestSketchFindsHotKeys(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(3, 4))
	s := NewSketch(256)
	exact := map[key.Hash]int{}
	for range 20000 {
		h := key.Hash(random.Uint64())
		if random.IntN(2) == 0 {
			h = key.Hash(random.IntN(17)) // half of the requests go to 17 keys
		}
		s.Add(h)
		exact[h]++
	}
	top := s.Top(32)
	is.True(len(top) <= 32)
	found := 0
	for _, share := range top {
		is.True(int(math.Round(share.Share*20000)) <= exact[share.Hash]) // the guaranteed share never exceeds the exact one
		if share.Hash < 17 && share.Share > 0.01 {
			found++
		}
	}
	is.Equal(found, 17)
	for range 20 {
		s.Decay(0.5)
	}
	is.Equal(len(s.Top(32)), 0)
}

// Guards against samples that are read twice, and against samples that were overwritten
// before they were read.
func TestSamplerDrain(t *testing.T) {
	is := is.New(t)
	var s Sampler
	for i := range 20 * ringSize {
		s.Observe(key.Hash(i))
	}
	count, last := 0, key.Hash(0)
	s.Drain(func(h key.Hash) {
		is.True(h >= last)
		count, last = count+1, h
	})
	is.True(count > 0 && count <= ringSize)
	s.Drain(func(key.Hash) { t.Error("a sample was read twice") })
}
