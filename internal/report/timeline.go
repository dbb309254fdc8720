package report

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/outcome"
)

// maxBuckets limits the number of buckets of a timeline.
const maxBuckets = 80

// bucketWidths are the possible widths of a bucket, in ascending order.
var bucketWidths = []time.Duration{
	100 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second,
	time.Minute, 2 * time.Minute, 5 * time.Minute, 10 * time.Minute, 30 * time.Minute,
	time.Hour, 2 * time.Hour, 6 * time.Hour, 12 * time.Hour, 24 * time.Hour,
}

// Timeline holds outcomes and latencies over time.
type Timeline struct {
	Width   time.Duration `json:"width_ns"`
	Buckets []Bucket      `json:"buckets"`
}

// newTimeline distributes the requests, given in order of arrival, over buckets.
func newTimeline(histories []*RequestHistory) Timeline {
	if len(histories) == 0 {
		return Timeline{}
	}
	first, last := histories[0].Start(), histories[len(histories)-1].Start()
	t := Timeline{Width: bucketWidth(last.Sub(first))}
	latencies := []*latencyCounter{}
	for at := first.Truncate(t.Width); !at.After(last); at = at.Add(t.Width) {
		t.Buckets = append(t.Buckets, Bucket{Start: at})
		latencies = append(latencies, newLatencyCounter())
	}
	for _, h := range histories {
		n := int(h.Start().Sub(t.Buckets[0].Start) / t.Width)
		t.Buckets[n].add(h.Outcome())
		if h.Outcome() == outcome.Answered {
			latencies[n].add(h.Duration())
		}
	}
	for n := range t.Buckets {
		t.Buckets[n].Latencies = latencies[n].latencies()
	}
	return t
}

func bucketWidth(span time.Duration) time.Duration {
	for _, width := range bucketWidths {
		if span/width < maxBuckets-1 {
			return width
		}
	}
	// Longer time spans get the number of whole days per bucket that they need.
	const day = 24 * time.Hour
	return (span/(maxBuckets-1)/day + 1) * day
}
