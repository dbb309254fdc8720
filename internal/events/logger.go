package events

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
)

// queueSize limits the lines that wait for the writer. At about 400 bytes per line the
// queue holds at most 3 MB.
const queueSize = 8192

// Logger writes events as JSON lines. Emit never blocks: when the writer falls behind,
// lines are dropped and counted, and the next line that is written is preceded by an
// EventsDropped line with the count. Loggers derived by With share one queue. A nil
// Logger discards all events.
type Logger struct {
	queue  *loggerQueue
	fields []any
}

// NewLogger starts a logger that writes to w. fields, alternating names and values, are
// added to each line.
func NewLogger(w io.Writer, fields ...any) *Logger {
	return NewRateLimitedLogger(w, 0, fields...)
}

// NewRateLimitedLogger starts a logger that writes at most maxPerSecond lines of each
// event per second (0 means no limit). Lines above the limit are counted as dropped.
func NewRateLimitedLogger(w io.Writer, maxPerSecond uint64, fields ...any) *Logger {
	q := &loggerQueue{
		lines:        make(chan line, queueSize),
		closed:       make(chan struct{}),
		done:         make(chan struct{}),
		maxPerSecond: maxPerSecond,
	}
	go q.run(w)
	return &Logger{queue: q, fields: fields}
}

// With returns a logger that also adds fields to each line.
func (l *Logger) With(fields ...any) *Logger {
	if l == nil {
		return nil
	}
	return &Logger{queue: l.queue, fields: append(append([]any{}, l.fields...), fields...)}
}

// Emit queues one line. fields are alternating names and values.
func (l *Logger) Emit(e Event, fields ...any) {
	if l == nil {
		return
	}
	now := time.Now()
	if !l.queue.allow(e, now) {
		l.queue.dropped.Add(1)
		return
	}
	select {
	case l.queue.lines <- line{event: e, at: now, loggerFields: l.fields, eventFields: fields}:
	default:
		l.queue.dropped.Add(1)
	}
}

// Dropped returns the number of dropped lines that have not been reported yet.
func (l *Logger) Dropped() uint64 {
	return l.queue.dropped.Load()
}

// Close writes the queued lines and stops the writer.
func (l *Logger) Close() {
	if l == nil {
		return
	}
	close(l.queue.closed)
	<-l.queue.done
}

// writeLine writes a line with the fields that every line has, at, event and name, and
// those of its logger and event.
func writeLine(out *log.Logger, next line) {
	fields := make([]any, 0, 6+len(next.loggerFields)+len(next.eventFields))
	fields = append(fields,
		"at", next.at.UTC().Format(time.RFC3339Nano),
		"event", next.event.Number,
		"name", next.event.Name)
	fields = append(fields, next.loggerFields...)
	fields = append(fields, next.eventFields...)
	out.Log(next.event.Level, next.event.Message, fields...)
}
