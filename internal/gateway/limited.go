package gateway

import "io"

// limited ends a stream with an error when it is longer than allowed.
type limited struct {
	source io.Reader
	left   int64
}

func (l *limited) Read(p []byte) (int, error) {
	n, err := l.source.Read(p)
	if l.left -= int64(n); l.left < 0 {
		return n, errBodyTooLarge
	}
	return n, err
}
