package entrynode

import (
	"strconv"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Guards against a metric that grows with each team that ever was in the configuration.
func TestLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	labels := boundedLabels{limit: 5}
	var mu sync.Mutex
	seen := map[string]bool{}
	var running sync.WaitGroup
	for range 4 {
		running.Go(func() {
			for n := range 100 {
				label := labels.of("team" + strconv.Itoa(n))
				mu.Lock()
				seen[label] = true
				mu.Unlock()
			}
		})
	}
	running.Wait()
	is.True(seen[otherLabel])
	is.True(len(seen) <= 5+1)
	for label := range seen {
		is.Equal(labels.of(label), label) // a value that has its own label keeps it
	}
}
