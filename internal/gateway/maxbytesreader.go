package gateway

import "io"

// maxBytesReader ends a stream with an error when it is longer than allowed.
type maxBytesReader struct {
	source    io.Reader
	remaining int64
}

func (l *maxBytesReader) Read(p []byte) (int, error) {
	n, err := l.source.Read(p)
	if l.remaining -= int64(n); l.remaining < 0 {
		return n, errBodyTooLarge
	}
	return n, err
}
