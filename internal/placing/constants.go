package placing

import "time"

const (
	// defaultTook is the assumed service time of a server that has not answered yet.
	defaultTook = 150 * time.Millisecond
	// tookWeight is the weight of the newest answer in the average service time:
	// about the last eight answers count.
	tookWeight = 0.12
	// lateMargin is how many average service times must remain: the work of a
	// request varies, and one that is cut off has wasted a slot.
	lateMargin = 1.3
	// speedWeight is the weight of the newest answer in a server's long-term
	// average: the last twenty count, so that chance moves no keys.
	speedWeight = 0.05
	// slownessLife is how long a server's report of its machine's speed is
	// believed; neighbours change several times a second.
	slownessLife = 300 * time.Millisecond
	// crossDomain is the extra time of a server in another failure domain: two hops.
	crossDomain = 3 * time.Millisecond
	// crossDomainLarge is what keeps large requests in their failure domain,
	// where their bytes are cheap.
	crossDomainLarge = 400 * time.Millisecond
	// firstSuspicion and longestSuspicion bound how long a server that failed gets
	// no work; it doubles with each failure in a row.
	firstSuspicion   = 200 * time.Millisecond
	longestSuspicion = 2 * time.Second
	// ahead is how many requests beyond its slots a busy server gets from its
	// queue, so that a slot does not stay empty for the round trip of its end.
	ahead = 1
	// shedPause is how long a server that shed work while it had free slots gets none.
	shedPause = 50 * time.Millisecond
	// coldBurst is how many requests a cold server may get at once.
	coldBurst = 1.5
	// coldNews is by how much the told end of a cold start must differ to be news.
	coldNews = time.Second
	// shortestRetry and longestRetry bound the advice when to come back.
	shortestRetry = 50 * time.Millisecond
	longestRetry  = 2 * time.Second
	// loadTimeConstant is the decay of the request rate of a key: hot keys last
	// some seconds, and shorter averages follow noise.
	loadTimeConstant = 1000 * time.Millisecond
	// NumKeys is the number of keys of a service.
	NumKeys = 1 << 16
)
