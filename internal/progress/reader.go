// Package progress ends the transfer of a body that makes no progress, instead of
// limiting its total time.
package progress

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// DefaultIdleTimeout is the default of the setting idle_timeout.
const DefaultIdleTimeout = 5 * time.Second

// ErrStalled means that no byte was transferred within the idle timeout.
var ErrStalled = errors.New("the body made no progress within the idle timeout")

// Reader reads a body and ends it if no byte is transferred within the idle timeout,
// because either the source sends nothing or the receiver reads nothing.
type Reader struct {
	source  io.Reader
	idle    time.Duration
	timer   *time.Timer
	stalled atomic.Bool
	ended   atomic.Bool
	bytes   atomic.Int64
	onEnd   func()
}

// NewReader returns a Reader of source and starts its idle timer. onStall is called once
// if the transfer stalls; it must unblock a Read of source, usually by closing it or
// cancelling its context. onEnd, which may be nil, is called once when source has ended.
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

// Read reads from the source. It returns ErrStalled once the transfer has stalled.
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

// Bytes returns the number of bytes read.
func (r *Reader) Bytes() int64 {
	return r.bytes.Load()
}

// Stalled reports whether the transfer has stalled.
func (r *Reader) Stalled() bool {
	return r.stalled.Load()
}

// Stop stops the idle timer without closing the source.
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
