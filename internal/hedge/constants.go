package hedge

import "time"

const (
	// minBound is the upper bound of the first bucket of a delay's histogram. No hedge is sent
	// earlier: a request takes two hops of up to 1.5 ms and a server's work.
	minBound = 2 * time.Millisecond
	// bucketsPerDoubling makes each bucket 9% wider than the one before, which bounds the
	// error of the delay.
	bucketsPerDoubling = 8
	// numBuckets covers response times up to 131 s, four times the longest default timeout.
	numBuckets = 16*bucketsPerDoubling + 1
	// minSamples is the number of response times before which no delay is known: with fewer,
	// a quantile of 0.95 is one of the two highest samples.
	minSamples = 40
	// maxSamples is the number of samples above which all counts are halved, so that the delay
	// follows a change of the response times within a few hundred requests.
	maxSamples = 512
	// samplesPerUpdate is how many samples the published delay may lag.
	samplesPerUpdate = 16
	// minQuantile and maxQuantile bound the quantile that is hedged at. Below the first the
	// usual work is repeated; above the second the estimate rests on fewer than 5 samples.
	minQuantile = 0.90
	maxQuantile = 0.99
	// slicesPerWindow is the number of time slices per window of a limit.
	slicesPerWindow = 10
	// keptSlices covers the window and one more slice, since a window may begin within a slice.
	keptSlices = slicesPerWindow + 1
)
