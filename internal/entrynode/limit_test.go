package entrynode

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The bounds of the platform's pages: from limitStart after a server has first named its
// limit, limitRatio times what that allows and limitSlack requests may reach it in any
// limitWindow.
const (
	limitStart  = 3 * time.Second
	limitWindow = 4 * time.Second
	limitRatio  = 1.5
	limitSlack  = 5
)

// arrivedBetween counts the requests that the server executed from from until until.
func (b *fakeBackend) arrivedBetween(from, until time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, at := range b.arrivals {
		if !at.Before(from) && at.Before(until) {
			n++
		}
	}
	return n
}

// Guards against servers that get more requests than the limit that they name, summed over
// the instances, and against callers that are not served although other servers have room,
// while the store is out and the holder stops too.
func TestServersGetNoMoreThanTheirLimit(t *testing.T) {
	for _, tc := range []struct {
		name   string
		impair func(f *fleet)
	}{
		{"in touch", func(*fleet) {}},
		{"store out", func(f *fleet) { f.store.Store().Faults().SetUnavailable(true) }},
		{"an instance stops, possibly the holder", func(f *fleet) { f.instances[2].stop() }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t, defaultRouteTimeout)
			const rate = 3.0
			limit := strconv.FormatFloat(rate, 'f', 1, 64)
			limited := f.backends[0]
			stops, total := []chan struct{}{make(chan struct{}), make(chan struct{})}, make(chan int, 2)
			limited.limit.Store(&limit)
			named := time.Now()
			for n, stop := range stops {
				go func() { total <- f.generateLoad(t, f.instances[n:n+1], stop) }()
			}
			time.Sleep(time.Second)
			tc.impair(f)
			from := named.Add(limitStart)
			until := from.Add(limitWindow)
			time.Sleep(time.Until(until))
			got := limited.arrivedBetween(from, until)
			others := f.backends[1].arrivedBetween(from, until) + f.backends[2].arrivedBetween(from, until)
			for _, stop := range stops {
				close(stop)
				is.True(<-total > 0)
			}
			is.True(float64(got) <= limitRatio*rate*limitWindow.Seconds()+limitSlack)
			is.True(others > got) // they go on
			f.checkOwners(t)
		})
	}
}
