package placing

import (
	"testing"
	"time"
)

// Guards against hedging that does not shorten the slowest responses where slots are free,
// that makes any of them longer, that exceeds its share, or that costs more work than its share.
func TestHedgingUnderLoad(t *testing.T) {
	for _, utilisation := range []float64{0.35, 0.6, 0.9} {
		off := replayHedges(t, utilisation, 0, 60*time.Second)
		t.Logf("%2.0f%% of the slots, off: %v", 100*utilisation, off)
		for _, share := range []float64{0.02, 0.05, 0.1} {
			on := replayHedges(t, utilisation, share, 60*time.Second)
			t.Logf("%2.0f%% of the slots, %2.0f%%: %v", 100*utilisation, 100*share, on)
			// The margins are above what two runs of the same load differ by: the scheduler
			// goes through its servers in random order.
			gain := 1.1
			if utilisation < 0.9 && share >= 0.05 {
				gain = 0.75
			}
			if p99, before := on.quantile(0.99), off.quantile(0.99); float64(p99) > gain*float64(before) {
				t.Errorf("99th percentile is %v, and %v without hedges", p99, before)
			}
			if p999, before := on.quantile(0.999), off.quantile(0.999); float64(p999) > 1.2*float64(before) {
				t.Errorf("99.9th percentile is %v, and %v without hedges", p999, before)
			}
			if p50, before := on.quantile(0.5), off.quantile(0.5); float64(p50) > 1.2*float64(before) {
				t.Errorf("median is %v, and %v without hedges", p50, before)
			}
			if on.hedgeShare() > share || on.hedges == 0 {
				t.Errorf("%d hedges of %d requests", on.hedges, on.requests)
			}
			if on.slots > off.slots+0.04 {
				t.Errorf("%.0f%% of the slots are in use, and %.0f%% without hedges", 100*on.slots, 100*off.slots)
			}
			if on.refused > 0 {
				t.Errorf("%d requests are refused", on.refused)
			}
		}
	}
}

// Guards against hedges that take capacity from requests which are queued or refused.
func TestHedgesStopUnderOverload(t *testing.T) {
	r := replayHedges(t, 1.3, 0.1, 30*time.Second)
	t.Log(r)
	if r.hedgeShare() > 0.001 || r.refused == 0 {
		t.Errorf("%d hedges and %d refused of %d requests", r.hedges, r.refused, r.requests)
	}
}
