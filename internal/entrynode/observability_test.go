package entrynode

import (
	"io"
	"slices"
	"strings"
	"testing"

	"peridotmoor.org/peridotmoor/internal/report/keyowners"
)

// scrape returns the metrics of the instance.
func (i *instance) scrape(t *testing.T) string {
	t.Helper()
	response, err := probeClient.Get("http://" + i.config.MetricsAddress + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// hasGranted reports whether the log of the instance tells that it has granted a key under
// the fence to the server.
func (i *instance) hasGranted(t *testing.T, key int, server string, fence int64) bool {
	t.Helper()
	log := keyowners.NewLog("s", key)
	if err := log.Read(strings.NewReader(strings.Join(i.log.traced(), "\n"))); err != nil {
		t.Fatal(err)
	}
	return slices.ContainsFunc(log.History().Grants, func(g keyowners.Grant) bool {
		return g.Instance == i.config.Name && g.Server == server && g.Fence == fence
	})
}

// Guards against instances whose metrics and logs don't show which of them is the holder and
// to which server it has granted a key.
func TestHolderAndItsGrantsAreVisible(t *testing.T) {
	f := newFleet(t, defaultRouteTimeout)
	const key = 4711
	waitFor(t, "the holder shows itself and its grant of the key", func() bool {
		for _, b := range f.backends {
			for _, i := range f.instances {
				if !b.ownsKey(key) || !i.hasGranted(t, key, b.name, b.grantOf(key).fence) {
					continue
				}
				text := i.scrape(t)
				return strings.Contains(text, "\nperidotmoor_holder_acting 1\n") && strings.Contains(text, "\nperidotmoor_holder_sends_orders 1\n") &&
					!strings.Contains(text, "\nperidotmoor_order_write_delay_seconds_count 0\n")
			}
		}
		return false
	})
}
