package bounds

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// headBytes is about the size of a head of a request or response on the users' platform.
const headBytes = 250

// services holds the figures of the users' pages, by deployment.
var services = map[string][]Service{
	"ogunleye": {
		{"orders", 18, 6, 1.6, []Class{{"stock-check", 362, 0.090, 0, 5000}, {"deposit", 123, 0.120, 4000, 5000}}},
		{"tracker", 12, 6, 1.4, []Class{{"track", 130, 0.220, 0, 400}}},
	},
	"ogunleye, grown": {
		{"orders", 246, 6, 1.6, []Class{{"stock-check", 1353, 0.370, 0, 5000}, {"deposit", 460, 0.480, 4000, 5000}}},
		{"tracker", 154, 6, 1.4, []Class{{"track", 487, 0.920, 0, 400}}},
	},
	"kokemori, large": {
		{"bosho", 133, 3, 1.5, []Class{{"plot-lookup", 1018, 0.200, 0, 400}}},
		{"chumon", 72, 3, 1.6, []Class{{"renewal-order", 426, 0.260, 300, 400}}},
		{"shashin", 18, 3, 1.6, []Class{{"survey-upload", 116, 0.240, 60000, 400}}},
		{"yoyaku", 17, 3, 1.5, []Class{{"visit-booking", 163, 0.160, 0, 400}}},
	},
}

// Prints the bounds for docs/measurements.md, and guards against figures that cannot be
// right: the pages say that the servers bear the mean load.
func TestBoundsOfTheDeployments(t *testing.T) {
	for name, list := range services {
		for _, s := range list {
			bytes := 0.0
			for _, c := range s.Classes {
				bytes += c.Bytes(headBytes)
			}
			t.Logf("%s, %s: %.0f%% of the slots busy, at most %.0f requests/s of one key, %.2f MB/s", name, s.Name, 100*s.Utilization(), s.MaxKeyRate(), bytes/1e6)
			if s.Utilization() >= 1 || s.MaxKeyRate() <= 0 {
				t.Errorf("%s, %s: the servers cannot bear the load", name, s.Name)
			}
		}
	}
}

// Guards against a share of crossing requests that is worked out wrongly.
func TestCrossing(t *testing.T) {
	is := is.New(t)
	even := []float64{0.25, 0.25, 0.25, 0.25}
	is.Equal(CrossingByChance(even, even), 0.75)
	is.Equal(CrossingByChance([]float64{1, 0}, []float64{1, 0}), 0.0)
	is.Equal(LeastCrossing(map[int]map[string]int{1: {"a": 3, "b": 1}, 2: {"b": 4}}), 0.125)
	is.Equal(LeastCrossing(nil), 0.0)
}

// Guards against a bound of a key that grows with the number of servers.
func TestKeyRateIsThatOfOneServer(t *testing.T) {
	is := is.New(t)
	s := Service{Servers: 10, Slots: 3, MaxSpeed: 1.5, Classes: []Class{{PerSecond: 50, Work: 0.3}}}
	is.True(math.Abs(s.Utilization()-0.5) < 1e-9)
	is.True(math.Abs(s.MaxKeyRate()-15) < 1e-9)
	s.Servers = 100
	is.True(math.Abs(s.MaxKeyRate()-15) < 1e-9)
}
