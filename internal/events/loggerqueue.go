package events

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// loggerQueue is the queue and the writer goroutine that loggers derived from each other
// share.
type loggerQueue struct {
	lines   chan line
	dropped atomic.Uint64
	closed  chan struct{}
	done    chan struct{}
	// maxPerSecond limits the lines of each event; 0 means no limit.
	maxPerSecond uint64
	// limiters holds the *rateLimiter of each event number.
	limiters sync.Map
}

// allow reports whether the rate limit allows one more line of the event.
func (q *loggerQueue) allow(e Event, now time.Time) bool {
	if q.maxPerSecond == 0 {
		return true
	}
	limiter, ok := q.limiters.Load(e.Number)
	if !ok {
		limiter, _ = q.limiters.LoadOrStore(e.Number, new(rateLimiter))
	}
	return limiter.(*rateLimiter).allow(now, q.maxPerSecond)
}

func (q *loggerQueue) run(w io.Writer) {
	defer close(q.done)
	out := log.NewWithOptions(w, log.Options{Formatter: log.JSONFormatter, Level: log.DebugLevel})
	for {
		select {
		case next := <-q.lines:
			q.write(out, next)
		case <-q.closed:
			q.drain(out)
			return
		}
	}
}

func (q *loggerQueue) drain(out *log.Logger) {
	for {
		select {
		case next := <-q.lines:
			q.write(out, next)
		default:
			q.reportDropped(out)
			return
		}
	}
}

func (q *loggerQueue) write(out *log.Logger, next line) {
	q.reportDropped(out)
	writeLine(out, next)
}

func (q *loggerQueue) reportDropped(out *log.Logger) {
	if count := q.dropped.Swap(0); count > 0 {
		writeLine(out, line{event: EventsDropped, at: time.Now(), eventFields: []any{"count", count}})
	}
}
