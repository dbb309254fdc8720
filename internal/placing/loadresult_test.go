package placing

import (
	"fmt"
	"sort"
	"time"
)

// loadResult is what the callers of a load, or of one team, got.
type loadResult struct {
	sent, inTime, late, unserved int
	// refusals counts all refusals, refusalsOfUnserved those of requests never served.
	refusals, refusalsOfUnserved int
	// returned counts the callers that came back, returnedServed those of them that were served.
	returned, returnedServed int
	// told counts the callers that returned when they were told, toldServed those served.
	told, toldServed int
	waits            []time.Duration
	// verdictDelays holds how long refused attempts waited for their refusal.
	verdictDelays []time.Duration
}

func (r *loadResult) String() string {
	share := func(n int) float64 { return 100 * float64(n) / float64(max(r.sent, 1)) }
	return fmt.Sprintf("sent %5d, in time %5.1f%%, late %4.1f%%, unserved %4.1f%%, refused %5d, refusals per unserved %.2f, returns served %4d of %4d, when told %4d of %4d, wait p50 %v p99 %v, refused after p50 %v p99 %v",
		r.sent, share(r.inTime), share(r.late), share(r.unserved), r.refusals, float64(r.refusalsOfUnserved)/float64(max(r.unserved, 1)),
		r.returnedServed, r.returned, r.toldServed, r.told, percentile(r.waits, 0.5), percentile(r.waits, 0.99), percentile(r.verdictDelays, 0.5), percentile(r.verdictDelays, 0.99))
}

func percentile(all []time.Duration, q float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all[int(q*float64(len(all)-1))].Round(time.Millisecond)
}

// add adds the results of other callers.
func (r *loadResult) add(o *loadResult) {
	r.sent, r.inTime, r.late, r.unserved = r.sent+o.sent, r.inTime+o.inTime, r.late+o.late, r.unserved+o.unserved
	r.refusals, r.refusalsOfUnserved = r.refusals+o.refusals, r.refusalsOfUnserved+o.refusalsOfUnserved
	r.told, r.toldServed = r.told+o.told, r.toldServed+o.toldServed
	r.returned, r.returnedServed = r.returned+o.returned, r.returnedServed+o.returnedServed
	r.waits, r.verdictDelays = append(r.waits, o.waits...), append(r.verdictDelays, o.verdictDelays...)
}
