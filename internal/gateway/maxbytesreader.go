package gateway

import "io"

// maxBytesReader reads a body and fails when it exceeds the size limit.
type maxBytesReader struct {
	source    io.Reader
	remaining int64
}

func (r *maxBytesReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if r.remaining -= int64(n); r.remaining < 0 {
		return n, errBodyTooLarge
	}
	return n, err
}
