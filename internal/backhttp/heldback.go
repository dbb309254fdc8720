package backhttp

import (
	"io"

	"github.com/pkg/errors"
)

// heldBack passes a stream on, but its last byte only once confirm has returned nil. If that
// returns an error, the stream ends with it in place of the byte.
type heldBack struct {
	source  io.Reader
	confirm func() error
	last    byte
	has     bool
	// err ends the stream after last, if that is passed on.
	err error
}

// Read implements io.Reader.
func (h *heldBack) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	for h.err == nil {
		n, err := h.source.Read(p)
		if n > 0 {
			n = h.shift(p[:n])
		}
		if errors.Is(err, io.EOF) {
			if failure := h.confirm(); failure != nil {
				err = failure
			}
		}
		h.err = err
		h.has = h.has && (err == nil || errors.Is(err, io.EOF))
		if n > 0 {
			return n, nil
		}
	}
	if h.has {
		p[0], h.has = h.last, false
		return 1, nil
	}
	return 0, h.err
}

// shift puts the byte that was held back before p, keeps the last byte of p in its place, and
// returns how many bytes of p are passed on.
func (h *heldBack) shift(p []byte) int {
	last, first := p[len(p)-1], h.last
	had := h.has
	h.last, h.has = last, true
	if !had {
		return len(p) - 1
	}
	copy(p[1:], p[:len(p)-1])
	p[0] = first
	return len(p)
}
