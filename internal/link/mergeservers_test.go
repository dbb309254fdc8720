package link

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Guards against servers that are lost, kept or out of order when changes are applied, compared
// with a map of the servers by name.
func TestMergeServers(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	var servers []fleet.Server
	byName := map[string]fleet.Server{}
	for step := range 2000 {
		var changed []fleet.Server
		var gone []string
		for range random.IntN(5) {
			s := fleet.Server{Incarnation: fleet.Incarnation{Name: fmt.Sprintf("s%02d", random.IntN(40))}, Slots: step + random.IntN(3)}
			changed = append(changed, s)
			byName[s.Name] = s
		}
		for range random.IntN(4) {
			name := fmt.Sprintf("s%02d", random.IntN(40))
			gone = append(gone, name)
			delete(byName, name)
		}
		before := slices.Clone(servers)
		next := mergeServers(servers, changed, gone)
		is.Equal(servers, before) // snapshots share it
		servers = next
		is.Equal(len(servers), len(byName))
		for i, name := range slices.Sorted(maps.Keys(byName)) {
			is.Equal(servers[i], byName[name])
		}
	}
}
