// Package progress limits the transfer of a body by its lack of progress instead
// of its total time.
package progress

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// DefaultIdleTimeout is the default of the setting idle_timeout.
const DefaultIdleTimeout = 5 * time.Second

// ErrStalled means that no byte moved for the idle timeout.
var ErrStalled = errors.New("the body made no progress within the idle timeout")

// Reader passes a body on and ends it when no byte has moved for a while, be it
// that the source sends nothing or that the receiver takes nothing.
type Reader struct {
	source  io.Reader
	idle    time.Duration
	timer   *time.Timer
	stalled atomic.Bool
	ended   atomic.Bool
	bytes   atomic.Int64
	onEnd   func()
}

// NewReader starts to watch source. onStall is called once when it stalls; it
// must unblock a Read of source, usually by closing it or cancelling its context.
// onEnd, which may be nil, is called once after the last byte.
func NewReader(source io.Reader, idle time.Duration, onStall, onEnd func()) *Reader {
	r := &Reader{source: source, idle: idle, onEnd: onEnd}
	r.timer = time.AfterFunc(idle, func() {
		if r.ended.Load() {
			return
		}
		r.stalled.Store(true)
		onStall()
	})
	return r
}

// Read reads from the source. It returns ErrStalled after a stall.
func (r *Reader) Read(p []byte) (int, error) {
	if r.stalled.Load() {
		return 0, ErrStalled
	}
	n, err := r.source.Read(p)
	r.bytes.Add(int64(n))
	if n > 0 && err == nil {
		r.timer.Reset(r.idle)
	}
	if r.stalled.Load() {
		return n, ErrStalled
	}
	if err != nil {
		r.end()
	}
	return n, err
}

// Bytes returns how many bytes have moved.
func (r *Reader) Bytes() int64 {
	return r.bytes.Load()
}

// Stalled reports whether the transfer was ended for lack of progress.
func (r *Reader) Stalled() bool {
	return r.stalled.Load()
}

// Stop ends the watch without closing the source.
func (r *Reader) Stop() {
	r.ended.Store(true)
	r.timer.Stop()
}

func (r *Reader) end() {
	if r.ended.Swap(true) {
		return
	}
	r.timer.Stop()
	if r.onEnd != nil {
		r.onEnd()
	}
}
