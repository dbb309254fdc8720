package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/tcpproxy"
)

const (
	// firstEvent leaves time for the first requests.
	firstEvent = time.Second
	// meanEventGap is the mean time between two events.
	meanEventGap = 1100 * time.Millisecond
	// maxFaultTime is the longest time that a fault lasts, and maxRestartPause the
	// longest time that an ended process stays down.
	maxFaultTime    = 3500 * time.Millisecond
	maxRestartPause = 1500 * time.Millisecond
	// minLimit and maxLimit bound the rate limits of servers, in requests/s, and
	// minLimitTime is the shortest time for which a server names one. The rules count
	// the requests of 4 s, from 3 s after its beginning.
	minLimit, maxLimit = 0.3, 2.0
	minLimitTime       = 5 * time.Second
	// minShedPause is the shortest pause that a shedding server asks for. Each instance
	// sends a server less than one request/s.
	minShedPause = 2 * time.Second
	// maxCutSeries is the greatest number of cuts of a domain in series, and maxCutStretch how
	// many times longer than its class a cut may last.
	maxCutSeries  = 3
	maxCutStretch = 1.3
	// minOutTime is the shortest time for which a failure domain is taken out: longer than its
	// servers may still get requests. maxOutSeries is how often in a row it may be.
	minOutTime   = 7 * time.Second
	maxOutSeries = 3
	// minFarTime is the shortest time for which the store is far: several reads of it.
	minFarTime = 4 * time.Second
	// maxConnectionDelay is the longest delay of a connection.
	maxConnectionDelay = 250 * time.Millisecond
)

// cutLengths are the shortest lengths of the cuts of failure domains: each is past another
// bound on how long a holder, its lease and the grants that it leaves behind may last.
var cutLengths = []time.Duration{3 * time.Second, 8 * time.Second, 16 * time.Second, 25 * time.Second}

// schedule is what happens during one seed.
type schedule struct {
	theme  string
	events []event
}

// newSchedule draws the events of a seed. It depends only on its arguments. The theme is
// drawn too unless the options name one.
func newSchedule(seed uint64, options Options) schedule {
	duration, instances, servers := options.Duration, options.Instances, options.Servers*len(services)
	random := rand.New(rand.NewPCG(seed, 1))
	drawn := themes[random.IntN(len(themes))]
	if named, found := themeOf(options.Theme); found {
		drawn = named
	}
	s := schedule{theme: drawn.name}
	for at := firstEvent; at < duration; at += time.Duration(random.ExpFloat64() * float64(meanEventGap)) {
		e := event{at: at, kind: drawn.draw(random), length: upTo(random, maxFaultTime), pause: upTo(random, maxRestartPause)}
		switch e.kind {
		case eventServerFault, eventServerCrash, eventServerDrain, eventServerLeave, eventServerRetire, eventServerLimit, eventServerShed:
			e.targets = []int{random.IntN(servers)}
		case eventDomainCut:
			drawCut(random, &e, drawn.atHolder)
		case eventDomainOut:
			e.targets = []int{random.IntN(domainCount)}
			e.length += minOutTime
			e.count = 1 + random.IntN(maxOutSeries)
		case eventStoreFar:
			e.targets = random.Perm(instances)
			e.length += minFarTime
		case eventStopSeveral:
			e.targets = drawSeveral(random, instances)
		case eventConfigure, eventConfigureTwin, eventStoreDown, eventStoreSlow, eventStoreLost, eventStoreCopy, eventOddEntries, eventSpoilRecord, eventSpoilHolder, eventSpoilConfig:
		default:
			e.targets = []int{random.IntN(instances)}
			if random.IntN(4) == 0 || drawn.atHolder {
				e.targets = []int{holderTarget}
			}
		}
		switch e.kind {
		case eventStoreCut, eventPeerFault, eventServerFault:
			e.fault = drawFault(random)
			if drawn.long && e.kind != eventServerFault {
				e.length += minFarTime
			}
		case eventServerLimit:
			e.rate = minLimit + (maxLimit-minLimit)*random.Float64()
			e.length += minLimitTime
		case eventServerShed:
			e.pause += minShedPause
			e.length += e.pause
		}
		s.events = append(s.events, e)
	}
	return s
}

// cutsDomains reports whether a failure domain is cut off during the seed.
func (s schedule) cutsDomains() bool {
	return slices.ContainsFunc(s.events, func(e event) bool { return e.kind == eventDomainCut })
}

// drawCut draws the domain, direction, length and number of the cuts of an event.
func drawCut(random *rand.Rand, e *event, atHolder bool) {
	e.targets = []int{random.IntN(domainCount)}
	if random.IntN(3) > 0 || atHolder {
		e.targets = []int{holderTarget}
	}
	directions := []cutDirection{cutBoth, cutBoth, cutOutbound, cutInbound, cutReset}
	e.direction = directions[random.IntN(len(directions))]
	e.length = time.Duration(float64(cutLengths[random.IntN(len(cutLengths))]) * (1 + (maxCutStretch-1)*random.Float64()))
	e.count = 1
	if random.IntN(4) == 0 {
		e.count += random.IntN(maxCutSeries)
	}
}

// drawSeveral draws instances that are stopped together: any, all, or all but one of a
// failure domain, so that the load balancer uses stopping instances too.
func drawSeveral(random *rand.Rand, instances int) []int {
	all := random.Perm(instances)
	switch random.IntN(8) {
	case 0:
		return all
	case 1, 2, 3:
		return all[:1+random.IntN((instances+1)/2)]
	}
	domain, targets := random.IntN(domainCount), []int{}
	for _, n := range all {
		if n%domainCount == domain {
			targets = append(targets, n)
		}
	}
	return targets[min(1, len(targets)):]
}

func (t theme) draw(random *rand.Rand) eventKind {
	total := 0
	for _, w := range t.weights {
		total += w.weight
	}
	draw := random.IntN(total)
	for _, w := range t.weights {
		if draw -= w.weight; draw < 0 {
			return w.kind
		}
	}
	return ""
}

func drawFault(random *rand.Rand) tcpproxy.Fault {
	kinds := []tcpproxy.FaultKind{tcpproxy.FaultDelay, tcpproxy.FaultReset, tcpproxy.FaultSilentRequests, tcpproxy.FaultSilentResponses, tcpproxy.FaultSilent}
	fault := tcpproxy.Fault{Kind: kinds[random.IntN(len(kinds))], Share: 0.3 + 0.7*random.Float64(), Delay: upTo(random, maxConnectionDelay)}
	if random.IntN(3) == 0 {
		fault.Share = 1
	}
	return fault
}

// upTo draws a time up to the limit, short ones more often.
func upTo(random *rand.Rand, limit time.Duration) time.Duration {
	f := random.Float64()
	return time.Duration(f * f * float64(limit))
}
