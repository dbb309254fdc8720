package gateway

import "io"

// countingReader is an empty body that counts how often it is read.
type countingReader struct{ reads int }

func (r *countingReader) Read([]byte) (int, error) {
	r.reads++
	return 0, io.EOF
}
