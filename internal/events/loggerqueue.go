package events

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
)

// loggerQueue is the queue and writer goroutine that related loggers share.
type loggerQueue struct {
	lines   chan line
	dropped atomic.Uint64
	closed  chan struct{}
	done    chan struct{}
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
		writeLine(out, line{event: Dropped, at: time.Now(), more: []any{"count", count}})
	}
}
